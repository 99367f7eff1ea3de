#pragma once

/// @file
/// Drives the scheduler of an owner: claims its journal, reads it, and serves until it is deposed.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/node/fleet_wire.hpp"
#include "peridotrudder/node/record_feed.hpp"
#include "peridotrudder/ownership/journal_writer.hpp"
#include "peridotrudder/planning/fleet_planner.hpp"
#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

/// How the owner reaches the world.
struct owner_ports {
    loop_port m_loop;
    log_port m_log;
    worker_port m_workers;
    vm_port m_vms;
    policy_port m_policy;
    fleet_wire m_wire;
    /// Answers a call.
    std::function<void(std::uint64_t token, const call_answer&)> m_answer;
    std::function<void(const decision&)> m_decided;
    /// Takes how long an exchange took, by its name.
    std::function<void(std::string_view what, milliseconds time)> m_measured;
    /// The owner has a successor, or can go on no longer: to be destroyed.
    std::function<void()> m_ended;
};

struct owner_options {
    std::uint64_t m_epoch{0};
    scheduler_options m_scheduler;
    planner_options m_planner;
    /// The predecessor gave its ownership up, and renews no lease any more.
    bool m_predecessor_left{false};
    /// Starts are sent only with a proof of ownership that is not older.
    milliseconds m_start_proof{2'000};
    /// So long an owner goes on renewing leases without proof. Successors wait it out.
    milliseconds m_hold_proof{5'000};
    /// A write at least this often keeps the proof fresh and shows others that the owner lives.
    milliseconds m_proof_interval{400};
    /// Once writes have failed for so long, new jobs are refused instead of waiting for the log.
    milliseconds m_refuse_after{350};
    /// How often `tick` is called. Later ticks show that the processor is short.
    milliseconds m_tick_interval{10};
};

enum class owner_phase { claiming, loading, serving, ended };

/// One ownership, from the claim that was won until it is lost. Not thread-safe; runs on the loop.
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
    /// Takes a call; one that comes before the owner serves waits.
    void take_call(std::uint64_t token, const job_call& call);
    /// To be called every few milliseconds.
    void tick();
    /// Returns for how long the log has turned its writes away.
    milliseconds failing_for() const;
    const job_scheduler* scheduler() const { return m_scheduler.get(); }

private:
    fleet_owner(owner_options options, owner_ports ports);

    void journal_written();
    void journal_fenced();
    void load();
    void serve_when_loaded();
    void read_journal();
    void follow_operators();
    void follow_workers();
    void take_operator_records(const std::vector<keyed_record>& records);
    void take_worker_records(const std::vector<keyed_record>& records, bool snapshot);
    void pump();
    void end();
    void tell_wave(const std::string& key, bool completed);
    planner_ports make_planner_ports();
    /// Hands an event to the scheduler, if its owner is still there, and writes what follows.
    static void with_scheduler(const std::weak_ptr<fleet_owner*>& self,
                               const std::function<void(job_scheduler&, moment)>& event);
    scheduler_ports make_scheduler_ports();
    bool proven(milliseconds within) const;
    void adapt_to_lag(time_point now);

    owner_options m_options;
    owner_ports m_ports;
    owner_phase m_phase{owner_phase::claiming};
    std::unique_ptr<journal_writer> m_journal;
    std::unique_ptr<record_feed> m_operators;
    std::unique_ptr<record_feed> m_worker_list;
    std::unique_ptr<job_scheduler> m_scheduler;
    std::unique_ptr<fleet_planner> m_planner;
    std::vector<keyed_record> m_journal_records;
    bool m_journal_read{false};
    std::optional<write_batch> m_writing;
    time_point m_writing_since;
    std::vector<std::pair<std::uint64_t, job_call>> m_early_calls;
    bool m_configured{false};
    time_point m_ticked_at;
    /// How late ticks are, averaged, in milliseconds.
    double m_lag_ms{0.0};
    time_point m_adapted_at;
    /// Workers whose newest entry names no pool of the configuration, or cannot be read.
    std::set<std::string> m_unusable_workers;
    /// Outlives the owner in the answers that are under way.
    std::shared_ptr<fleet_owner*> m_self;
};

} // namespace peridotrudder
