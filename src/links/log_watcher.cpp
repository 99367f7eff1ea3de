#include "peridotrudder/links/log_watcher.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/telemetry/log.hpp"

namespace peridotrudder {

namespace {

constexpr std::size_t page_records = 1'000;
constexpr milliseconds append_retry_interval{100};
constexpr std::size_t record_id_bytes = 12;

} // namespace

log_watcher::log_watcher(platform_client platform, std::string author, milliseconds poll_interval,
                         state_hook on_change)
    : m_platform{std::move(platform)},
      m_author{std::move(author)},
      m_poll_interval{poll_interval},
      m_on_change{std::move(on_change)},
      m_state{std::make_shared<const fleet_state>()}
{
}

log_watcher::~log_watcher()
{
    stop();
}

void log_watcher::stop()
{
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void log_watcher::start()
{
    m_thread = std::thread{[this] { run(); }};
}

void log_watcher::run()
{
    while (!m_stopping) {
        const bool more = read_once();
        if (!more) {
            std::unique_lock<std::mutex> lock{m_mutex};
            m_changed.wait_for(lock, m_poll_interval,
                               [this] { return m_stopping.load() || m_read_requested; });
            m_read_requested = false;
        }
    }
}

// Returns whether more records can be read immediately.
bool log_watcher::read_once()
{
    const auto from = state()->next_offset();
    const auto page = m_platform.read_log(from, page_records);
    const bool was_connected = m_connected.exchange(page.has_value());
    if (!page) {
        if (was_connected) {
            log_event(log_level::warning, "log_unreadable",
                      {{"fault", std::string{to_string(page.error())}}});
        }
        return false;
    }
    if (page->m_first > from) {
        return start_from_page(*page);
    }
    apply_tail(page->m_records);
    m_started = true;
    return state()->next_offset() < page->m_next;
}

// Records between this state and the oldest retained one have expired, so a retained snapshot must
// cover them.
bool log_watcher::start_from_page(const log_page& page)
{
    std::vector<logged_record> kept;
    for (auto next = page.m_first; next < page.m_next;) {
        auto part = m_platform.read_log(next, page_records);
        if (!part || part->m_records.empty()) {
            return false;
        }
        next = part->m_records.back().m_offset + 1;
        std::move(part->m_records.begin(), part->m_records.end(), std::back_inserter(kept));
    }
    auto result = follow_result::gap;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        result = m_follower.start(page.m_first, kept);
        publish_locked();
    }
    if (result == follow_result::gap) {
        log_event(log_level::error, "log_gap", {{"first_kept", std::to_string(page.m_first)}});
        return false;
    }
    m_started = true;
    notify();
    return true;
}

std::shared_ptr<const fleet_state> log_watcher::state() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_state;
}

void log_watcher::apply_tail(gsl::span<const logged_record> records)
{
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        const auto before = m_follower.state().next_offset();
        m_follower.take(records);
        if (m_follower.state().next_offset() == before) {
            return;
        }
        publish_locked();
    }
    notify();
}

void log_watcher::adopt_snapshot(const fleet_state& state)
{
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (!m_follower.adopt(state)) {
            return;
        }
        publish_locked();
    }
    m_started = true;
    notify();
}

std::vector<logged_record> log_watcher::tail_from(std::uint64_t offset, std::size_t limit) const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_follower.tail_from(offset, limit);
}

void log_watcher::request_read()
{
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        m_read_requested = true;
    }
    m_changed.notify_all();
}

void log_watcher::publish_locked()
{
    m_state = std::make_shared<const fleet_state>(m_follower.state());
}

void log_watcher::notify()
{
    m_changed.notify_all();
    if (m_on_change) {
        m_on_change(state());
    }
}

record log_watcher::make_record(record_body body, std::string reason) const
{
    const auto now = state();
    record value;
    value.m_id = random_hex(record_id_bytes);
    value.m_author = m_author;
    value.m_based_on = now->next_offset();
    value.m_term = now->term().m_number;
    value.m_reason = std::move(reason);
    value.m_body = std::move(body);
    return value;
}

tl::expected<fold_result, append_fault> log_watcher::append(const record& value,
                                                            milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    bool sent = false;
    while (std::chrono::steady_clock::now() < deadline && !m_stopping) {
        const auto offset = m_platform.append(value);
        sent = sent || offset.has_value() || offset.error() != platform_fault::unavailable;
        if (offset) {
            request_read();
        }
        const auto until =
            offset ? deadline
                   : std::min(deadline, std::chrono::steady_clock::now() + append_retry_interval);
        std::unique_lock<std::mutex> lock{m_mutex};
        const bool folded = m_changed.wait_until(
            lock, until, [&] { return m_stopping || m_state->result_of(value.m_id).has_value(); });
        if (folded && m_state->result_of(value.m_id)) {
            return *m_state->result_of(value.m_id);
        }
    }
    return tl::make_unexpected(sent ? append_fault::not_read_back : append_fault::log_unavailable);
}

} // namespace peridotrudder
