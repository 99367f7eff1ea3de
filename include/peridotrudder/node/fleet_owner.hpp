#pragma once

/// @file
/// Runs the scheduler of an owner: claims the journal, loads it, and serves until it is fenced.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/jobs/job_reader.hpp"
#include "peridotrudder/node/buffered_follower.hpp"
#include "peridotrudder/node/platform_ports.hpp"
#include "peridotrudder/ownership/journal_writer.hpp"
#include "peridotrudder/ownership/ownership_proof.hpp"
#include "peridotrudder/planning/fleet_planner.hpp"
#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

/// Hooks of the owner to its process and the platform.
struct owner_ports {
    loop_port m_loop;
    log_port m_log;
    worker_port m_workers;
    vm_port m_vms;
    policy_port m_policy;
    record_schema m_record_schema;
    /// Answers a call.
    std::function<void(std::uint64_t token, const call_answer&)> m_answer;
    std::function<void(const decision&)> m_decided;
    /// Records the duration of an exchange, by its name.
    std::function<void(std::string_view exchange, milliseconds time)> m_measured;
    /// Returns whether a majority of the nodes says that it hears this owner. Without the log no
    /// other owner can begin, so its answers from memory need no newer proof then.
    std::function<bool()> m_is_supported;
    /// Called when the owner has been fenced or cannot continue, and has to be destroyed.
    std::function<void()> m_ended;
};

struct owner_options {
    std::uint64_t m_epoch{0};
    scheduler_options m_scheduler;
    fleet_planner_options m_planner;
    /// The predecessor resigned, and no longer renews leases.
    bool m_predecessor_released{false};
    /// The oldest proofs of ownership by which the owner acts. A successor waits for the one of
    /// leases, unless the predecessor resigned.
    proof_limits m_proof_limits;
    /// Longest time between writes, which renew the proof and serve as heartbeats.
    milliseconds m_proof_interval{400};
    /// Calls wait for the next reading of the configuration if the newest is older than this, but
    /// not for long: reads may fail alone.
    milliseconds m_config_max_age{1'500};
    milliseconds m_config_longest_wait{1'000};
    /// Delay after which a reading of the configuration without an answer is repeated beside it.
    milliseconds m_config_hedge_delay{200};
    /// New jobs are refused once writes to the log have failed for this long.
    milliseconds m_refuse_jobs_after{350};
    /// Interval at which `tick` is called. Late ticks indicate a lack of processor time.
    milliseconds m_tick_interval{10};
    /// Most jobs that are restored, or whose runs are adopted, in one turn of the loop, and most
    /// calls that are handled in one turn after they have waited for the owner to load.
    std::size_t m_jobs_per_turn{100};
};

enum class owner_phase { claiming, loading, serving, ended };

/// One term of ownership, from the won claim until its loss. Not thread-safe; runs on the loop.
class fleet_owner {
public:
    static std::unique_ptr<fleet_owner> create(owner_options options, owner_ports ports);

    fleet_owner(const fleet_owner&) = delete;
    fleet_owner& operator=(const fleet_owner&) = delete;
    fleet_owner(fleet_owner&&) = delete;
    fleet_owner& operator=(fleet_owner&&) = delete;
    ~fleet_owner() = default;

    void start();
    std::uint64_t epoch() const { return m_options.m_epoch; }
    owner_phase phase() const { return m_phase; }
    /// Handles a call; calls wait until the owner serves.
    void take_call(std::uint64_t token, const job_call& call);
    /// Must be called every few milliseconds.
    void tick();
    /// Returns how long writes to the log have been failing; zero if they succeed.
    milliseconds failing_for() const;
    /// Returns whether calls are answered at once. Otherwise they wait for a proof of ownership.
    bool may_answer() const;
    /// Returns the age of the newest proof of ownership: the newest write that succeeded.
    milliseconds proof_age() const;
    /// Returns how long ago the configuration was certainly the newest.
    milliseconds config_age() const;
    const job_scheduler* scheduler() const { return m_scheduler.get(); }
    /// Returns how many jobs have been restored and how many have been adopted so far.
    std::size_t restored_jobs() const { return m_restored_jobs; }
    std::size_t adopted_jobs() const { return m_adopted_jobs; }

private:
    fleet_owner(owner_options options, owner_ports ports);

    void journal_written();
    void journal_fenced();
    /// Begins to load once the journal, the configuration and the list of workers have been read.
    void load_when_read();
    /// Takes the next step of loading, and plans the one after it.
    void load_some();
    /// Handles at most `max_jobs` jobs of the journal. Returns whether all are restored and
    /// adopted.
    bool load_jobs(std::size_t max_jobs);
    void create_scheduler();
    void serve();
    void serve_early_calls();
    /// Calls `step` in a later turn of the loop, unless the owner has ended by then.
    void in_next_turn(void (fleet_owner::*step)());
    /// Writes a proof of ownership if the newest one is about to become too old.
    void renew_proof(moment now);
    void read_journal();
    void follow_operators();
    void follow_workers();
    void keep_usable_limits(fleet_config& config);
    void take_operator_records(const std::vector<keyed_record>& records);
    void handle_call(std::uint64_t token, const job_call& call);
    /// Answers an operator's question. Needs no key.
    void answer_question(std::uint64_t token, const placement_question& question);
    placement_report explain_placement(const placement_question& question);
    /// Handles a call that has waited for `waited`. Returns false if it has to wait longer.
    bool serve_call(std::uint64_t token, const job_call& call, milliseconds waited);
    void take_answer(std::uint64_t token, const call_answer& answer);
    void serve_held_calls();
    bool config_is_too_old(milliseconds waited) const;
    /// Returns whether a call without a valid key has to wait for a newer reading, which may have
    /// its key.
    bool key_must_wait(milliseconds waited) const;
    /// Returns whether the newest reading is too old to tell whether the call's key is valid.
    bool key_is_uncertain(const job_call& call, bool lacks_key) const;
    void take_worker_records(const std::vector<keyed_record>& records, bool snapshot);
    void write_pending();
    /// Places tasks, and returns what there is to write.
    write_batch place();
    /// Returns whether it is too early for the next placement pass.
    bool pass_must_wait() const;
    void end();
    void report_wave_state(const std::string& key, bool completed);
    fleet_planner_ports make_planner_ports();
    /// Passes an event to the scheduler, if the owner still exists, and writes the changes.
    static void with_scheduler(const std::weak_ptr<fleet_owner*>& self,
                               const std::function<void(job_scheduler&, moment)>& event);
    scheduler_ports make_scheduler_ports();
    /// Returns whether the owner may do this now, without a write of its own. All that it does in
    /// its own name asks here first.
    bool may(owner_act act) const;
    void adapt_to_lag(time_point now);
    /// Reports when the proof or the configuration becomes too old, and when it no longer is.
    void report_ages();

    owner_options m_options;
    owner_ports m_ports;
    owner_phase m_phase{owner_phase::claiming};
    std::unique_ptr<journal_writer> m_journal;
    ownership_proof m_proof;
    std::unique_ptr<buffered_follower> m_operators;
    std::unique_ptr<buffered_follower> m_worker_list;
    std::unique_ptr<job_scheduler> m_scheduler;
    std::unique_ptr<fleet_planner> m_planner;
    std::vector<keyed_record> m_journal_records;
    bool m_journal_read{false};
    std::optional<write_batch> m_writing;
    time_point m_writing_since;
    time_point m_next_pass_at;
    /// Operators' questions are not answered before.
    time_point m_next_question_at;
    /// Jobs that are being restored from the journal; null before and after.
    std::unique_ptr<job_reader> m_reader;
    restore_report m_restored;
    std::size_t m_restored_jobs{0};
    std::size_t m_adopted_jobs{0};
    /// Calls that came while the owner loaded, and those that came before these were handled.
    std::deque<std::pair<std::uint64_t, job_call>> m_early_calls;
    /// Calls and their answers, which wait for a proof or for the configuration to be read.
    struct held_call {
        std::uint64_t m_token{0};
        job_call m_call;
        time_point m_since;
    };
    std::vector<held_call> m_held_calls;
    /// The call that is being handled, and its answer if that depends on no write.
    std::optional<std::uint64_t> m_call_in_hand;
    std::optional<call_answer> m_answer_in_hand;
    bool m_configured{false};
    time_point m_ticked_at;
    /// Moving average of the lateness of ticks, in milliseconds.
    double m_lag_ms{0.0};
    time_point m_adapted_at;
    bool m_proof_too_old{false};
    bool m_config_too_old{false};
    /// Workers whose newest entry names an unconfigured pool or cannot be read.
    std::set<std::string> m_unusable_workers;
    /// Held weakly by pending callbacks, which ignore answers once the owner is destroyed.
    std::shared_ptr<fleet_owner*> m_self;
};

} // namespace peridotrudder
