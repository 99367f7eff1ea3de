#pragma once

/// @file
/// Declared maintenance waves and their progress.

#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/planning/vm_control.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// A declared wave and its progress.
struct wave_state {
    declared_wave m_wave;
    /// Key of the wave's records, used in reports to operators and in the journal.
    std::string m_key;
    std::int64_t m_declared_ms{0};
    /// Ids of the VMs whose maintenance has begun, or that no longer exist.
    std::set<std::string> m_begun;
    /// Those of `m_begun` that may still be down.
    std::set<std::string> m_away;
    /// State last reported to operators: none yet, running (false) or completed (true).
    std::optional<bool> m_reported_completed;

    bool completed() const { return m_begun.size() >= m_wave.m_listed_vms.size(); }
};

/// Returns how many of the wave's remaining VMs to drain now. Spreads them over the remaining time,
/// so that little capacity is missing at once.
std::uint32_t vms_to_drain(const wave_state& wave, std::size_t remaining_vms, std::int64_t now_ms);

/// Tracks the progress of all declared waves. Not thread-safe.
class wave_tracker {
public:
    /// Adds a declared wave; does nothing if its number is known already.
    void declare(declared_wave wave, const std::string& key, std::int64_t now_ms);

    /// Restores the progress that a predecessor recorded, for waves that are declared afterwards.
    void restore(const std::vector<keyed_record>& records);

    std::map<std::uint64_t, wave_state>& waves() { return m_waves; }

    /// Records that a VM's maintenance has begun; it counts as away until `mark_returned`.
    void mark_begun(wave_state& wave, const std::string& vm_id);
    /// Records that a VM needs no maintenance any more: it no longer exists, or is not part of the
    /// wave.
    void mark_gone(wave_state& wave, const std::string& vm_id);
    void mark_returned(wave_state& wave, const std::string& vm_id);

    /// Returns the progress records that changed since the last call.
    std::vector<keyed_record> take_changes();

private:
    struct progress {
        /// Unix milliseconds at which the wave was first seen.
        std::int64_t m_declared_ms{0};
        std::vector<std::string> m_begun;

        template <typename Archive, typename Self>
        static void describe(Archive& archive, Self& self)
        {
            archive.field("declared_ms", self.m_declared_ms);
            archive.field("begun", self.m_begun);
        }
    };

    std::map<std::uint64_t, wave_state> m_waves;
    std::map<std::string, progress> m_restored;
    std::set<std::uint64_t> m_changed_waves;
};

} // namespace peridotrudder
