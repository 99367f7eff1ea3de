#include "peridotrudder/journal/fleet_state.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Detects retried appends, which come within minutes; this many records cover hours of changes.
constexpr std::size_t max_results_kept = 1024;
constexpr std::size_t max_decisions_kept = 256;
constexpr std::size_t max_former_members = 32;
constexpr std::size_t max_waves = 64;

template <typename Value>
void keep_latest(std::vector<Value>& values, std::size_t count)
{
    if (values.size() > count) {
        values.erase(values.begin(), values.end() - static_cast<std::ptrdiff_t>(count));
    }
}

/// Returns the name of the object that a record changes, for the history.
struct object_name_visitor {
    std::string operator()(const contract_applied& body) { return body.m_contract.m_customer; }
    std::string operator()(const contract_removed& body) { return body.m_customer; }
    std::string operator()(const entry_joined& body) { return body.m_member.m_entry; }
    std::string operator()(const entry_left& body) { return body.m_incarnation; }
    std::string operator()(const entry_evicted& body) { return body.m_incarnation; }
    std::string operator()(const vms_added& body)
    {
        return body.m_vms.empty() ? "" : body.m_vms.front().m_id;
    }
    std::string operator()(const vm_removed& body) { return body.m_vm; }
    std::string operator()(const vm_phase_changed& body) { return body.m_vm; }
    std::string operator()(const wave_declared& body) { return body.m_wave.m_id; }
    std::string operator()(const wave_cancelled& body) { return body.m_wave; }
    std::string operator()(const term_claimed& body) { return body.m_holder; }
    std::string operator()(const term_renewed& /*body*/) { return ""; }
    std::string operator()(const snapshot_taken& /*body*/) { return ""; }
};

/// Returns whether a VM may change directly from one phase to the other.
bool is_valid_transition(vm_phase from, vm_phase to)
{
    switch (from) {
    case vm_phase::serving:
        return to == vm_phase::draining;
    case vm_phase::draining:
        return to == vm_phase::away || to == vm_phase::serving;
    case vm_phase::away:
        return to == vm_phase::serving;
    }
    return false;
}

} // namespace

fold_result fleet_state::fold(std::uint64_t offset, const record& value)
{
    fold_result result;
    result.m_id = value.m_id;
    result.m_offset = offset;
    if (offset < m_next_offset || result_of(value.m_id)) {
        result.m_verdict = verdict::duplicate;
        m_next_offset = std::max(m_next_offset, offset + 1);
        return result;
    }
    const auto applied =
        std::visit([&](const auto& body) { return apply(offset, value, body); }, value.m_body);
    result.m_verdict = applied.m_verdict;
    result.m_winning_version = applied.m_winning_version;
    m_next_offset = offset + 1;
    store_result(result);
    if (applied.m_verdict == verdict::accepted) {
        append_history(offset, value);
    }
    return result;
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& value,
                                        const contract_applied& body)
{
    const auto& requested = body.m_contract;
    const auto existing = m_contracts.find(requested.m_customer);
    if (existing != m_contracts.end() && existing->second.m_version > value.m_based_on) {
        return {verdict::conflict, existing->second.m_version};
    }
    if (!check_contract(requested).empty()) {
        return {verdict::invalid, 0};
    }
    for (const auto& pool : requested.m_pools) {
        if (!pool_exists(pool)) {
            return {verdict::unknown_object, 0};
        }
        const auto held = contracted_slots(pool, requested.m_customer);
        if (held + requested.m_capacity_slots > pool_slots(pool)) {
            return {verdict::exceeds_fleet, 0};
        }
    }
    // The version is the offset after the record, so that it equals the base offset of an author
    // who has read exactly up to this record.
    m_contracts[requested.m_customer] = {requested, offset + 1};
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t /*offset*/, const record& value,
                                        const contract_removed& body)
{
    const auto existing = m_contracts.find(body.m_customer);
    if (existing == m_contracts.end()) {
        return {verdict::unknown_object, 0};
    }
    if (existing->second.m_version > value.m_based_on) {
        return {verdict::conflict, existing->second.m_version};
    }
    m_contracts.erase(existing);
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& /*value*/,
                                        const entry_joined& body)
{
    if (find_member(body.m_member.m_incarnation) != nullptr) {
        // An incarnation joins only once: an evicted process has to restart without its old state.
        return {verdict::not_applicable, 0};
    }
    auto& members = m_view.m_members;
    const auto replaced =
        std::find_if(members.begin(), members.end(), [&](const member& candidate) {
            return candidate.m_entry == body.m_member.m_entry;
        });
    if (replaced != members.end()) {
        m_former_members.push_back(*replaced);
        members.erase(replaced);
    }
    members.push_back(body.m_member);
    change_view(offset);
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& /*value*/,
                                        const entry_left& body)
{
    return remove_member(offset, body.m_incarnation);
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& /*value*/,
                                        const entry_evicted& body)
{
    if (!has_eviction_quorum(m_view, body.m_observers)) {
        return {verdict::too_few_observers, 0};
    }
    return remove_member(offset, body.m_incarnation);
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& value,
                                        const vms_added& body)
{
    if (!is_current_term(value)) {
        return {verdict::stale_term, m_term.m_number};
    }
    for (const auto& added : body.m_vms) {
        vm_entry entry;
        entry.m_vm = added;
        entry.m_version = offset + 1;
        entry.m_reason = value.m_reason;
        // A known VM keeps its pool, which only a move may change.
        m_vms.emplace(added.m_id, std::move(entry));
    }
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t /*offset*/, const record& value,
                                        const vm_removed& body)
{
    if (!is_current_term(value)) {
        return {verdict::stale_term, m_term.m_number};
    }
    if (m_vms.erase(body.m_vm) == 0) {
        return {verdict::unknown_object, 0};
    }
    for (auto& [id, wave] : m_waves) {
        auto& pending = wave.m_pending;
        pending.erase(std::remove(pending.begin(), pending.end(), body.m_vm), pending.end());
        finish_wave_if_empty(wave);
    }
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& value,
                                        const vm_phase_changed& body)
{
    if (!is_current_term(value)) {
        return {verdict::stale_term, m_term.m_number};
    }
    const auto found = m_vms.find(body.m_vm);
    if (found == m_vms.end()) {
        return {verdict::unknown_object, 0};
    }
    auto& entry = found->second;
    if (entry.m_phase != body.m_from || !is_valid_transition(body.m_from, body.m_to)) {
        return {verdict::conflict, entry.m_version};
    }
    const bool returns = body.m_to == vm_phase::serving;
    if (returns && !entry.m_to_pool.empty() && body.m_to_pool == entry.m_to_pool) {
        entry.m_vm.m_pool = entry.m_to_pool;
    }
    if (body.m_from == vm_phase::away && returns) {
        finish_wave_vm(body);
    }
    entry.m_phase = body.m_to;
    entry.m_wave = returns ? "" : body.m_wave;
    entry.m_to_pool = returns ? "" : body.m_to_pool;
    entry.m_boot = body.m_boot;
    entry.m_version = offset + 1;
    entry.m_reason = value.m_reason;
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& /*value*/,
                                        const wave_declared& body)
{
    if (m_waves.count(body.m_wave.m_id) != 0) {
        return {verdict::not_applicable, m_waves.at(body.m_wave.m_id).m_version};
    }
    if (!pool_exists(body.m_wave.m_pool)) {
        return {verdict::unknown_object, 0};
    }
    for (const auto& [id, other] : m_waves) {
        const bool running = other.m_status == wave_status::running;
        if (running && other.m_wave.m_pool == body.m_wave.m_pool) {
            return {verdict::conflict, other.m_version};
        }
    }
    wave_entry wave;
    wave.m_wave = body.m_wave;
    wave.m_version = offset + 1;
    for (const auto& [id, entry] : m_vms) {
        if (entry.m_vm.m_pool == body.m_wave.m_pool) {
            wave.m_pending.push_back(id);
        }
    }
    m_waves.emplace(body.m_wave.m_id, std::move(wave));
    if (m_waves.size() > max_waves) {
        const auto oldest =
            std::min_element(m_waves.begin(), m_waves.end(), [](const auto& a, const auto& b) {
                const bool a_runs = a.second.m_status == wave_status::running;
                const bool b_runs = b.second.m_status == wave_status::running;
                return a_runs != b_runs ? b_runs : a.second.m_version < b.second.m_version;
            });
        if (oldest->second.m_status != wave_status::running) {
            m_waves.erase(oldest);
        }
    }
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& /*value*/,
                                        const wave_cancelled& body)
{
    const auto found = m_waves.find(body.m_wave);
    if (found == m_waves.end()) {
        return {verdict::unknown_object, 0};
    }
    if (found->second.m_status != wave_status::running) {
        return {verdict::not_applicable, found->second.m_version};
    }
    found->second.m_status = wave_status::cancelled;
    found->second.m_version = offset + 1;
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& /*value*/,
                                        const term_claimed& body)
{
    if (body.m_previous_term != m_term.m_number) {
        return {verdict::stale_term, m_term.m_number};
    }
    // The number is the offset after the claim, because zero means that there is no term yet.
    m_term = {offset + 1, body.m_holder, offset + 1};
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t offset, const record& value,
                                        const term_renewed& /*body*/)
{
    if (!is_current_term(value)) {
        return {verdict::stale_term, m_term.m_number};
    }
    m_term.m_renewed_at = offset + 1;
    return {};
}

fleet_state::outcome fleet_state::apply(std::uint64_t /*offset*/, const record& value,
                                        const snapshot_taken& /*body*/)
{
    // A snapshot repeats the folded state, and is loaded only by a process that starts.
    if (!is_current_term(value)) {
        return {verdict::stale_term, m_term.m_number};
    }
    return {};
}

bool fleet_state::is_current_term(const record& value) const
{
    return value.m_term == m_term.m_number && value.m_author == m_term.m_holder;
}

bool fleet_state::pool_exists(std::string_view pool) const
{
    return std::any_of(m_vms.begin(), m_vms.end(),
                       [&](const auto& entry) { return entry.second.m_vm.m_pool == pool; });
}

std::uint32_t fleet_state::contracted_slots(std::string_view pool,
                                            std::string_view except_customer) const
{
    std::uint32_t held = 0;
    for (const auto& [customer, entry] : m_contracts) {
        const auto& pools = entry.m_contract.m_pools;
        if (customer != except_customer &&
            std::find(pools.begin(), pools.end(), pool) != pools.end()) {
            held += entry.m_contract.m_capacity_slots;
        }
    }
    return held;
}

std::uint32_t fleet_state::pool_slots(std::string_view pool) const
{
    std::uint32_t slots = 0;
    for (const auto& [id, entry] : m_vms) {
        if (entry.m_vm.m_pool == pool) {
            slots += entry.m_vm.m_slots;
        }
    }
    return slots;
}

fleet_state::outcome fleet_state::remove_member(std::uint64_t offset, std::string_view incarnation)
{
    auto& members = m_view.m_members;
    const auto found = std::find_if(members.begin(), members.end(), [&](const member& candidate) {
        return candidate.m_incarnation == incarnation;
    });
    if (found == members.end()) {
        return {verdict::unknown_object, 0};
    }
    m_former_members.push_back(*found);
    members.erase(found);
    change_view(offset);
    return {};
}

void fleet_state::change_view(std::uint64_t offset)
{
    keep_latest(m_former_members, max_former_members);
    m_view.m_number = offset + 1;
    extend_histories(m_histories, m_view);
}

void fleet_state::finish_wave_vm(const vm_phase_changed& change)
{
    const auto found = m_waves.find(change.m_wave);
    if (found == m_waves.end()) {
        return;
    }
    auto& pending = found->second.m_pending;
    const auto position = std::find(pending.begin(), pending.end(), change.m_vm);
    if (position != pending.end()) {
        pending.erase(position);
        found->second.m_done.push_back(change.m_vm);
    }
    finish_wave_if_empty(found->second);
}

void fleet_state::finish_wave_if_empty(wave_entry& wave) const
{
    if (wave.m_status == wave_status::running && wave.m_pending.empty()) {
        wave.m_status = wave_status::finished;
    }
}

const member* fleet_state::find_member(std::string_view incarnation) const
{
    if (const auto* current = m_view.find(incarnation)) {
        return current;
    }
    const auto found =
        std::find_if(m_former_members.begin(), m_former_members.end(),
                     [&](const member& former) { return former.m_incarnation == incarnation; });
    return found == m_former_members.end() ? nullptr : &*found;
}

std::optional<fold_result> fleet_state::result_of(std::string_view id) const
{
    const auto found = std::find_if(m_results.rbegin(), m_results.rend(),
                                    [&](const fold_result& result) { return result.m_id == id; });
    if (found == m_results.rend()) {
        return std::nullopt;
    }
    return *found;
}

void fleet_state::store_result(const fold_result& result)
{
    m_results.push_back(result);
    keep_latest(m_results, max_results_kept);
}

void fleet_state::append_history(std::uint64_t offset, const record& value)
{
    const bool routine = std::holds_alternative<term_renewed>(value.m_body) ||
                         std::holds_alternative<snapshot_taken>(value.m_body);
    if (routine) {
        return;
    }
    history_entry line;
    line.m_offset = offset;
    line.m_kind = kind_of(value.m_body);
    line.m_object = std::visit(object_name_visitor{}, value.m_body);
    line.m_author = value.m_author;
    line.m_reason = value.m_reason;
    m_decisions.push_back(std::move(line));
    keep_latest(m_decisions, max_decisions_kept);
}

nlohmann::json fleet_state::to_json() const
{
    return encode_json(*this);
}

tl::expected<fleet_state, decode_error> fleet_state::from_json(const nlohmann::json& json)
{
    return decode_json<fleet_state>(json);
}

} // namespace peridotrudder
