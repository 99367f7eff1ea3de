#include "links/guarded_connection.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace peridotrudder::internal {

namespace {

/// Bodies up to this length, in bytes, draw from the reserve that longer ones can't take.
constexpr std::size_t short_body_bytes = 16'384;
/// Memory per byte of a body: as the server, the handler and the call hold it.
constexpr std::size_t body_copies = 3;
constexpr std::size_t header_copies = 2;
/// Memory of a header's record, in bytes.
constexpr std::size_t header_record_bytes = 160;
/// A refused caller may go on sending this many bytes, so that it can read the refusal: closing a
/// connection with unread bytes resets it.
constexpr std::size_t max_discarded_bytes = 1'048'576;

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

std::string_view refusal_text(caller_refusal cause)
{
    switch (cause) {
    case caller_refusal::body_too_long:
        return "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    case caller_refusal::header_too_long:
        return "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
               "Content-Length: 0\r\n\r\n";
    case caller_refusal::malformed:
        return "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    case caller_refusal::connections:
    case caller_refusal::descriptors:
    case caller_refusal::memory:
    case caller_refusal::slow_body:
    case caller_refusal::accept_failed:
        break;
    }
    return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
           "Content-Length: 0\r\n\r\n";
}

std::size_t short_request_bytes(const request_framing& framing)
{
    const auto body = std::max(framing.announced_bytes().value_or(0), framing.body_bytes());
    return header_copies * framing.header_bytes() + header_record_bytes * framing.headers() +
           body_copies * body;
}

bool has_long_body(const request_framing& framing)
{
    return std::max(framing.announced_bytes().value_or(0), framing.body_bytes()) > short_body_bytes;
}

} // namespace

asio::execution_context::id server_registry::id;

std::shared_ptr<guarded_connection>
guarded_connection::create(std::shared_ptr<const guarded_server> server, int descriptor)
{
    auto made = std::make_shared<guarded_connection>(std::move(server), descriptor);
    connection_hooks hooks;
    hooks.m_cut = [connection = made.get()] { connection->cut(); };
    hooks.m_resume = [connection = std::weak_ptr<guarded_connection>{made}](bool granted) {
        if (const auto waiting = connection.lock()) {
            waiting->resume(granted);
        }
    };
    made->m_entry =
        made->m_server->m_table->add(made->m_server.get(), made->m_server->m_max_connections,
                                     descriptor, std::move(hooks), now_point());
    return made;
}

guarded_connection::guarded_connection(std::shared_ptr<const guarded_server> server, int descriptor)
    : m_server{std::move(server)},
      m_framing{m_server->m_limits},
      m_descriptor{descriptor}
{
}

guarded_connection::~guarded_connection()
{
    if (m_entry) {
        m_server->m_table->remove(m_entry, now_point());
    }
}

read_step guarded_connection::begin_read(const asio::mutable_buffer& buffer)
{
    if (!m_entry) {
        say(caller_refusal::memory);
        return {read_step::action::end, 0};
    }
    if (!m_ready.empty()) {
        return {read_step::action::deliver, take(buffer)};
    }
    if (m_framing.state() == framing_state::complete) {
        m_framing.start_next();
        m_has_long_body = false;
        m_server->m_table->begin_request(*m_entry, now_point());
    }
    if (!m_pending.empty() && !m_is_refused) {
        const auto raw = std::exchange(m_pending, {});
        return follow(buffer, raw);
    }
    return {};
}

read_step guarded_connection::received(const asio::mutable_buffer& buffer, std::size_t count)
{
    if (m_is_refused) {
        return discard(count);
    }
    const std::string_view raw{static_cast<const char*>(buffer.data()), count};
    return follow(buffer, raw);
}

read_step guarded_connection::follow(const asio::mutable_buffer& buffer, std::string_view raw)
{
    const auto taken = m_framing.feed(raw, m_ready);
    switch (m_framing.state()) {
    case framing_state::header_too_long:
        return refuse(caller_refusal::header_too_long);
    case framing_state::body_too_long:
        return refuse(caller_refusal::body_too_long);
    case framing_state::malformed:
        return refuse(caller_refusal::malformed);
    case framing_state::header:
    case framing_state::body:
    case framing_state::complete:
        break;
    }
    m_pending.assign(raw.substr(taken));
    return charge(buffer);
}

read_step guarded_connection::charge(const asio::mutable_buffer& buffer)
{
    auto& table = *m_server->m_table;
    const auto now = now_point();
    const bool is_whole = m_framing.state() == framing_state::complete;
    if (m_has_long_body) {
        table.body_received(*m_entry, m_framing.body_bytes(), now);
    }
    else if (has_long_body(m_framing)) {
        m_has_long_body = true;
        const auto body = m_framing.announced_bytes().value_or(m_server->m_limits.m_max_body_bytes);
        const auto grant = table.hold_long(m_entry, long_request_bytes(body), now);
        if (grant == body_grant::waits) {
            return {read_step::action::wait, 0};
        }
        if (grant == body_grant::refused) {
            return {read_step::action::end, 0};
        }
    }
    else if (!table.hold(*m_entry, short_request_bytes(m_framing), is_whole, now)) {
        say(caller_refusal::memory);
        return {read_step::action::end, 0};
    }
    else {
        return deliver(buffer);
    }
    return granted(buffer);
}

read_step guarded_connection::granted(const asio::mutable_buffer& buffer)
{
    if (m_framing.state() == framing_state::complete) {
        m_server->m_table->request_ended(*m_entry);
    }
    return deliver(buffer);
}

read_step guarded_connection::deliver(const asio::mutable_buffer& buffer)
{
    return m_ready.empty() ? read_step{} : read_step{read_step::action::deliver, take(buffer)};
}

void guarded_connection::wait(std::function<void(bool granted)> resume)
{
    std::optional<bool> resumed;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        resumed = std::exchange(m_resumed, std::nullopt);
        if (!resumed) {
            m_resume = std::move(resume);
            return;
        }
    }
    resume(*resumed);
}

void guarded_connection::resume(bool granted)
{
    std::function<void(bool granted)> resume;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (!m_resume) {
            m_resumed = granted;
            return;
        }
        resume = std::exchange(m_resume, nullptr);
    }
    resume(granted);
}

std::size_t guarded_connection::take(const asio::mutable_buffer& buffer)
{
    const auto count = std::min(buffer.size(), m_ready.size());
    std::copy_n(m_ready.data(), count, static_cast<char*>(buffer.data()));
    if (count == m_ready.size()) {
        m_ready.clear();
    }
    else {
        m_ready.erase(0, count);
    }
    return count;
}

read_step guarded_connection::refuse(caller_refusal cause)
{
    m_server->m_table->refused(cause, now_point());
    m_is_refused = true;
    m_ready = {};
    m_pending = {};
    say(cause);
    return {};
}

read_step guarded_connection::discard(std::size_t count)
{
    m_discarded_bytes += count;
    return {m_discarded_bytes > max_discarded_bytes ? read_step::action::end
                                                    : read_step::action::read_more,
            0};
}

/// Sends a refusal; no answer is under way, since nothing is read then. The caller may go on
/// sending: closing both directions would reset the connection, and the refusal could be lost.
void guarded_connection::say(caller_refusal cause)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (m_descriptor >= 0) {
        const auto text = refusal_text(cause);
        static_cast<void>(
            ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        static_cast<void>(::shutdown(m_descriptor, SHUT_WR));
    }
}

void guarded_connection::begin_write(std::size_t bytes)
{
    m_is_writing = true;
    if (m_entry) {
        m_server->m_table->answer_began(*m_entry, bytes, now_point());
    }
}

void guarded_connection::end_write()
{
    m_is_writing = false;
    if (m_entry) {
        m_server->m_table->answer_ended(*m_entry, now_point());
    }
    if (const auto resume = std::exchange(m_after_write, nullptr)) {
        resume();
    }
}

void guarded_connection::cut()
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (m_descriptor >= 0) {
        static_cast<void>(::shutdown(m_descriptor, SHUT_RDWR));
    }
}

void guarded_connection::close()
{
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        m_descriptor = -1;
    }
    resume(false);
}

} // namespace peridotrudder::internal
