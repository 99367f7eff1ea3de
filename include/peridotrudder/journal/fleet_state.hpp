#pragma once

/// @file
/// State of the fleet, computed by folding the records of the log in order.

#include "peridotrudder/contracts/limits.hpp"
#include "peridotrudder/journal/record.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// Outcome of folding a record. Records that are not accepted leave the state unchanged.
enum class verdict {
    accepted,
    /// The id or the offset was folded before; the record has no effect.
    duplicate,
    /// Another record changed the same object after the author had read it.
    conflict,
    /// The record was written under a term that has ended.
    stale_term,
    /// The object that the record names does not exist.
    unknown_object,
    /// The object exists already, or its state no longer allows the change.
    not_applicable,
    /// The contract is invalid in itself.
    invalid,
    /// The contracts of a pool would exceed its slots.
    exceeds_fleet,
    /// Too few members report the evicted one as unreachable.
    too_few_observers,
};

template <>
struct enum_names<verdict> {
    static constexpr std::array<std::string_view, 9> values{
        "accepted",       "duplicate", "conflict",      "stale_term",       "unknown_object",
        "not_applicable", "invalid",   "exceeds_fleet", "too_few_observers"};
};

/// Result of folding one record. `m_winning_version` is the version of the object that a
/// conflicting record lost to, or of the wave for a wave that is not applicable; for `stale_term`
/// it is the number of the current term; otherwise zero.
struct fold_result {
    std::string m_id;
    std::uint64_t m_offset{0};
    verdict m_verdict{verdict::accepted};
    std::uint64_t m_winning_version{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("id", self.m_id);
        archive.field("offset", self.m_offset);
        archive.field("verdict", self.m_verdict);
        archive.field("winner", self.m_winning_version);
    }
};

/// A contract and its version: the offset after the record that set it.
struct contract_entry {
    contract m_contract;
    std::uint64_t m_version{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("contract", self.m_contract);
        archive.field("version", self.m_version);
    }
};

/// A VM, its phase, and the wave or move that the phase belongs to.
struct vm_entry {
    vm m_vm;
    vm_phase m_phase{vm_phase::serving};
    std::string m_wave;
    std::string m_to_pool;
    std::uint64_t m_boot{0};
    std::uint64_t m_version{0};
    /// Reason for the last change.
    std::string m_reason;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vm", self.m_vm);
        archive.field("phase", self.m_phase);
        archive.field("wave", self.m_wave);
        archive.field("to_pool", self.m_to_pool);
        archive.field("boot", self.m_boot);
        archive.field("version", self.m_version);
        archive.field("reason", self.m_reason);
    }
};

enum class wave_status { running, cancelled, finished };

template <>
struct enum_names<wave_status> {
    static constexpr std::array<std::string_view, 3> values{"running", "cancelled", "finished"};
};

/// A wave, the VMs that it still has to reboot and those that it has rebooted.
struct wave_entry {
    maintenance_wave m_wave;
    wave_status m_status{wave_status::running};
    std::vector<std::string> m_pending;
    std::vector<std::string> m_done;
    std::uint64_t m_version{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("wave", self.m_wave);
        archive.field("status", self.m_status);
        archive.field("pending", self.m_pending);
        archive.field("done", self.m_done);
        archive.field("version", self.m_version);
    }
};

/// The planner's term. Its number is the offset after the claim; zero means no term yet.
struct term_entry {
    std::uint64_t m_number{0};
    std::string m_holder;
    std::uint64_t m_renewed_at{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("holder", self.m_holder);
        archive.field("renewed_at", self.m_renewed_at);
    }
};

/// An accepted record in the history that `explain` shows.
struct history_entry {
    std::uint64_t m_offset{0};
    std::string m_kind;
    std::string m_object;
    std::string m_author;
    std::string m_reason;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("offset", self.m_offset);
        archive.field("kind", self.m_kind);
        archive.field("object", self.m_object);
        archive.field("author", self.m_author);
        archive.field("reason", self.m_reason);
    }
};

/// State of the fleet after all records of the log up to one offset.
///
/// A value type, not thread-safe: the owner folds records into it one at a time, and hands out
/// copies. Folding is deterministic: states that folded the same records are equal in every
/// process.
///
///     fleet_state state;
///     const fold_result result = state.fold(offset, record);
///     if (result.m_verdict == verdict::conflict) { ... }
class fleet_state {
public:
    /// Folds the record at `offset`. Offsets below `next_offset` are ignored as duplicates.
    fold_result fold(std::uint64_t offset, const record& value);

    /// Returns the offset of the next record to fold.
    std::uint64_t next_offset() const { return m_next_offset; }
    const std::map<std::string, contract_entry>& contracts() const { return m_contracts; }
    const std::map<std::string, vm_entry>& vms() const { return m_vms; }
    const std::map<std::string, wave_entry>& waves() const { return m_waves; }
    const view& current_view() const { return m_view; }
    /// Returns the last members that left the view, oldest first.
    const std::vector<member>& former_members() const { return m_former_members; }
    const term_entry& term() const { return m_term; }
    const std::vector<partition_history>& histories() const { return m_histories; }
    const std::vector<history_entry>& decisions() const { return m_decisions; }

    /// Returns the current or former member with that incarnation, or null.
    const member* find_member(std::string_view incarnation) const;

    /// Returns the result of the record with that id, if it is still kept.
    std::optional<fold_result> result_of(std::string_view id) const;

    /// Returns the total slots of the pool's VMs in all phases.
    std::uint32_t pool_slots(std::string_view pool) const;

    /// Returns the state as JSON, for snapshots.
    nlohmann::json to_json() const;

    /// Returns the state in a snapshot, or the reason why it cannot be decoded.
    static tl::expected<fleet_state, decode_error> from_json(const nlohmann::json& json);

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("next_offset", self.m_next_offset);
        archive.field("contracts", self.m_contracts);
        archive.field("vms", self.m_vms);
        archive.field("waves", self.m_waves);
        archive.field("view", self.m_view);
        archive.field("former_members", self.m_former_members);
        archive.field("histories", self.m_histories);
        archive.field("term", self.m_term);
        archive.field("results", self.m_results);
        archive.field("decisions", self.m_decisions);
    }

private:
    /// Outcome of applying one record; see `fold_result` for the version.
    struct outcome {
        verdict m_verdict{verdict::accepted};
        std::uint64_t m_winning_version{0};
    };

    outcome apply(std::uint64_t offset, const record& value, const contract_applied& body);
    outcome apply(std::uint64_t offset, const record& value, const contract_removed& body);
    outcome apply(std::uint64_t offset, const record& value, const entry_joined& body);
    outcome apply(std::uint64_t offset, const record& value, const entry_left& body);
    outcome apply(std::uint64_t offset, const record& value, const entry_evicted& body);
    outcome apply(std::uint64_t offset, const record& value, const vms_added& body);
    outcome apply(std::uint64_t offset, const record& value, const vm_removed& body);
    outcome apply(std::uint64_t offset, const record& value, const vm_phase_changed& body);
    outcome apply(std::uint64_t offset, const record& value, const wave_declared& body);
    outcome apply(std::uint64_t offset, const record& value, const wave_cancelled& body);
    outcome apply(std::uint64_t offset, const record& value, const term_claimed& body);
    outcome apply(std::uint64_t offset, const record& value, const term_renewed& body);
    outcome apply(std::uint64_t offset, const record& value, const snapshot_taken& body);

    /// Returns whether the record was written by the holder of the current term.
    bool is_current_term(const record& value) const;
    bool pool_exists(std::string_view pool) const;
    /// Returns the slots of a pool that other customers' contracts take.
    std::uint32_t contracted_slots(std::string_view pool, std::string_view except_customer) const;
    outcome remove_member(std::uint64_t offset, std::string_view incarnation);
    void change_view(std::uint64_t offset);
    void finish_wave_vm(const vm_phase_changed& change);
    void finish_wave_if_empty(wave_entry& wave) const;
    void store_result(const fold_result& result);
    void append_history(std::uint64_t offset, const record& value);

    std::uint64_t m_next_offset{0};
    std::map<std::string, contract_entry> m_contracts;
    std::map<std::string, vm_entry> m_vms;
    std::map<std::string, wave_entry> m_waves;
    view m_view;
    std::vector<member> m_former_members;
    std::vector<partition_history> m_histories;
    term_entry m_term;
    std::vector<fold_result> m_results;
    std::vector<history_entry> m_decisions;
};

} // namespace peridotrudder
