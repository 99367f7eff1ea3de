#include "peridotrudder/planning/wave_tracker.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

namespace peridotrudder {

namespace {

constexpr std::string_view progress_prefix = "maintenance/";
/// Maintenance of a VM, with the time to empty it.
constexpr milliseconds wave_cycle{4'000};
/// Share of a wave's time by which all its VMs are to be under way: what is left is for VMs whose
/// long-running tasks may only leave one after the other, and for outages.
constexpr double planned_share = 0.7;

} // namespace

std::uint32_t vms_to_empty(const wave_state& wave, std::size_t open, std::int64_t now_ms)
{
    const auto planned_ms = static_cast<std::int64_t>(
        static_cast<double>(wave.m_wave.m_duration.count()) * planned_share);
    const auto left_ms = wave.m_declared_ms + planned_ms - now_ms;
    const auto cycles =
        std::max<std::int64_t>((left_ms - wave_cycle.count()) / wave_cycle.count(), 1);
    return static_cast<std::uint32_t>((static_cast<std::int64_t>(open) + cycles - 1) / cycles);
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
        // Whether they are up again is for the list of VMs to tell.
        state.m_begun.insert(restored->second.m_begun.begin(), restored->second.m_begun.end());
        state.m_away = state.m_begun;
        state.m_declared_ms = restored->second.m_declared_ms;
    }
    else {
        m_dirty.insert(number);
    }
    m_waves.emplace(number, std::move(state));
}

void wave_tracker::restore(const std::vector<keyed_record>& records)
{
    for (const auto& each : records) {
        if (!each.m_value || each.m_key.rfind(progress_prefix, 0) != 0) {
            continue;
        }
        const auto read = from_packed_cbor<progress>(*each.m_value);
        if (read) {
            m_restored[each.m_key.substr(progress_prefix.size())] = *read;
        }
    }
}

void wave_tracker::begun(wave_state& wave, const std::string& machine)
{
    wave.m_begun.insert(machine);
    wave.m_away.insert(machine);
    m_dirty.insert(wave.m_wave.m_number);
}

void wave_tracker::gone(wave_state& wave, const std::string& machine)
{
    wave.m_begun.insert(machine);
    wave.m_away.erase(machine);
    m_dirty.insert(wave.m_wave.m_number);
}

void wave_tracker::returned(wave_state& wave, const std::string& machine)
{
    wave.m_away.erase(machine);
}

std::vector<keyed_record> wave_tracker::take_changes()
{
    std::vector<keyed_record> records;
    for (const auto number : m_dirty) {
        const auto& wave = m_waves.at(number);
        const progress kept{wave.m_declared_ms, {wave.m_begun.begin(), wave.m_begun.end()}};
        records.push_back({std::string{progress_prefix} + wave.m_key, to_packed_cbor(kept), 0});
    }
    m_dirty.clear();
    return records;
}

} // namespace peridotrudder
