#include "peridotrudder/planning/wave_tracker.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

namespace peridotrudder {

namespace {

constexpr std::string_view progress_prefix = "maintenance/";
/// Time for draining and maintaining one VM.
constexpr milliseconds wave_cycle{4'000};
/// Share of a wave's time within which the maintenance of all its VMs is planned to begin. The rest
/// is for VMs whose long-running tasks may only be moved one after the other, and for outages.
constexpr double planned_share = 0.7;

} // namespace

std::uint32_t vms_to_drain(const wave_state& wave, std::size_t remaining_vms, std::int64_t now_ms)
{
    const auto planned_ms = static_cast<std::int64_t>(
        static_cast<double>(wave.m_wave.m_duration.count()) * planned_share);
    const auto left_ms = wave.m_declared_ms + planned_ms - now_ms;
    const auto cycles =
        std::max<std::int64_t>((left_ms - wave_cycle.count()) / wave_cycle.count(), 1);
    return static_cast<std::uint32_t>((static_cast<std::int64_t>(remaining_vms) + cycles - 1) /
                                      cycles);
}

void wave_tracker::declare(declared_wave wave, const std::string& key, std::int64_t now_ms)
{
    const auto number = wave.m_number;
    if (m_waves.count(number) != 0) {
        return;
    }
    wave_state state;
    state.m_wave = std::move(wave);
    state.m_key = key;
    state.m_declared_ms = now_ms;
    const auto restored = m_restored.find(key);
    if (restored != m_restored.end()) {
        // They count as away until the VM list shows that they are up again.
        state.m_begun.insert(restored->second.m_begun.begin(), restored->second.m_begun.end());
        state.m_away = state.m_begun;
        state.m_declared_ms = restored->second.m_declared_ms;
    }
    else {
        m_changed_waves.insert(number);
    }
    m_waves.emplace(number, std::move(state));
}

void wave_tracker::restore(const std::vector<keyed_record>& records)
{
    for (const auto& record : records) {
        if (!record.m_value || record.m_key.rfind(progress_prefix, 0) != 0) {
            continue;
        }
        const auto saved = from_packed_cbor<progress>(*record.m_value);
        if (saved) {
            m_restored[record.m_key.substr(progress_prefix.size())] = *saved;
        }
    }
}

void wave_tracker::mark_begun(wave_state& wave, const std::string& vm_id)
{
    wave.m_begun.insert(vm_id);
    wave.m_away.insert(vm_id);
    m_changed_waves.insert(wave.m_wave.m_number);
}

void wave_tracker::mark_gone(wave_state& wave, const std::string& vm_id)
{
    wave.m_begun.insert(vm_id);
    wave.m_away.erase(vm_id);
    m_changed_waves.insert(wave.m_wave.m_number);
}

void wave_tracker::mark_returned(wave_state& wave, const std::string& vm_id)
{
    wave.m_away.erase(vm_id);
}

std::vector<keyed_record> wave_tracker::take_changes()
{
    std::vector<keyed_record> records;
    for (const auto number : m_changed_waves) {
        const auto& wave = m_waves.at(number);
        const progress current{wave.m_declared_ms, {wave.m_begun.begin(), wave.m_begun.end()}};
        records.push_back({std::string{progress_prefix} + wave.m_key, to_packed_cbor(current), 0});
    }
    m_changed_waves.clear();
    return records;
}

} // namespace peridotrudder
