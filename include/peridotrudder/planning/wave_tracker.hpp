#pragma once

/// @file
/// Declared waves of maintenance and how far they are.

#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/planning/vm_control.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// One wave under way.
struct wave_state {
    declared_wave m_wave;
    /// Key of the wave's records, for operators and in the journal.
    std::string m_key;
    std::int64_t m_declared_ms{0};
    /// Machines whose maintenance has begun, or that are gone.
    std::set<std::string> m_begun;
    /// Of these: not known to be up again.
    std::set<std::string> m_away;
    /// State that operators have been told: nothing, running, or completed.
    std::optional<bool> m_told_completed;

    bool completed() const { return m_begun.size() >= m_wave.m_machines.size(); }
};

/// Returns how many of a wave's `open` VMs are to be emptied now: spread over the time that is
/// left, so that little capacity is away at once.
std::uint32_t vms_to_empty(const wave_state& wave, std::size_t open, std::int64_t now_ms);

/// Keeps the waves. Not thread-safe.
class wave_tracker {
public:
    /// Takes a declared wave; a wave that is known changes nothing.
    void declare(declared_wave wave, const std::string& key, std::int64_t now_ms);

    /// Takes the progress that a predecessor recorded, for waves declared before or later.
    void restore(const std::vector<keyed_record>& records);

    std::map<std::uint64_t, wave_state>& waves() { return m_waves; }

    /// Notes that a machine's maintenance has begun; it is away until `returned`.
    void begun(wave_state& wave, const std::string& machine);
    /// Notes that a machine will not have its maintenance: it is gone.
    void gone(wave_state& wave, const std::string& machine);
    void returned(wave_state& wave, const std::string& machine);

    /// Returns the records of the progress that have changed since the last call.
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
    std::set<std::uint64_t> m_dirty;
};

} // namespace peridotrudder
