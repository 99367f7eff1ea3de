#pragma once

/// @file
/// Follows the platform's log on a thread of its own and appends to it.

#include "peridotrudder/journal/log_follower.hpp"
#include "peridotrudder/links/platform_client.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace peridotrudder {

/// How an append ended without a verdict.
enum class append_fault {
    /// The log did not take the record; it has no effect.
    log_unavailable,
    /// The record was sent, but has not been read back in time; it may still take effect.
    not_read_back,
};

template <>
struct enum_names<append_fault> {
    static constexpr std::array<std::string_view, 2> values{"log_unavailable", "not_read_back"};
};

/// Called with each new state, on the thread that brought it.
using state_hook = std::function<void(const std::shared_ptr<const fleet_state>&)>;

/// Keeps the newest folded state of one process. Thread-safe.
class log_watcher {
public:
    /// Reads the log every `poll_interval`, and at once while there is more to read.
    log_watcher(platform_client platform, std::string author, milliseconds poll_interval,
                state_hook on_change);
    log_watcher(const log_watcher&) = delete;
    log_watcher& operator=(const log_watcher&) = delete;
    log_watcher(log_watcher&&) = delete;
    log_watcher& operator=(log_watcher&&) = delete;
    ~log_watcher();

    /// Starts to follow the log.
    void start();

    /// Stops to follow the log; the hook is not called any more.
    void stop();

    /// Returns the newest state; never null.
    std::shared_ptr<const fleet_state> state() const;

    /// Returns whether the last read of the platform's log succeeded.
    bool is_connected() const { return m_connected; }

    /// Returns whether the log was read, or a peer's state was taken over, at least once.
    bool is_started() const { return m_started; }

    /// Folds records that a peer passed on.
    void take_tail(gsl::span<const logged_record> records);

    /// Adopts a peer's state if it is ahead.
    void take_snapshot(const fleet_state& state);

    /// Returns records to pass on to a peer.
    std::vector<logged_record> tail_from(std::uint64_t offset, std::size_t limit) const;

    /// Returns a record by this author, with a fresh id, based on the newest state.
    record make_record(record_body body, std::string reason) const;

    /// Appends the record and waits until it was read back. An append whose answer was lost is
    /// sent again with the same id, until `patience` has passed.
    tl::expected<fold_result, append_fault> append(const record& value, milliseconds patience);

private:
    void run();
    bool read_once();
    bool start_from(const log_page& page);
    void read_soon();
    void publish_locked();
    void notify();

    platform_client m_platform;
    std::string m_author;
    milliseconds m_poll_interval;
    state_hook m_on_change;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    log_follower m_follower;
    std::shared_ptr<const fleet_state> m_state;
    bool m_read_soon{false};
    std::atomic<bool> m_connected{false};
    std::atomic<bool> m_started{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace peridotrudder
