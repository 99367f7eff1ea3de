#pragma once

/// @file
/// Follows the platform's log on a separate thread and appends to it.

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
    /// The log did not accept the record; it has no effect.
    log_unavailable,
    /// The record was sent but not read back in time; it may still take effect.
    not_read_back,
};

template <>
struct enum_names<append_fault> {
    static constexpr std::array<std::string_view, 2> values{"log_unavailable", "not_read_back"};
};

/// Called with each new state, on the thread that applied it.
using state_hook = std::function<void(const std::shared_ptr<const fleet_state>&)>;

/// Folds the log into the newest state known to this process. Thread-safe.
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

    /// Starts following the log.
    void start();

    /// Stops following the log.
    void stop();

    /// Returns the newest state; never null.
    std::shared_ptr<const fleet_state> state() const;

    /// Returns whether the last read of the platform's log succeeded.
    bool is_connected() const { return m_connected; }

    /// Returns whether the log was read, or a peer's snapshot was adopted, at least once.
    bool is_started() const { return m_started; }

    /// Folds records received from a peer.
    void apply_tail(gsl::span<const logged_record> records);

    /// Adopts a peer's state if it is newer.
    void adopt_snapshot(const fleet_state& state);

    /// Returns at most `limit` records from `offset` on, to send to a peer.
    std::vector<logged_record> tail_from(std::uint64_t offset, std::size_t limit) const;

    /// Returns a record by this author, with a new id, based on the newest state.
    record make_record(record_body body, std::string reason) const;

    /// Appends the record and waits until it is read back. An append whose answer was lost is
    /// repeated with the same id until `timeout` has passed.
    tl::expected<fold_result, append_fault> append(const record& value, milliseconds timeout);

private:
    void run();
    bool read_once();
    bool start_from_page(const log_page& page);
    void request_read();
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
    bool m_read_requested{false};
    std::atomic<bool> m_connected{false};
    std::atomic<bool> m_started{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace peridotrudder
