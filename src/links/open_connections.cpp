#include "links/open_connections.hpp"

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <thread>

namespace peridotrudder::internal {

namespace {

constexpr milliseconds poll_interval{2};
/// Time in which handshakes that have begun come to their end: more than a round trip.
constexpr milliseconds handshake_time{5};

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

/// Returns how many connections wait to be accepted.
std::uint32_t waiting_connections(int listener)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return 0;
    }
    // For a listener, Linux reports the length of its accept queue in this field.
    return info.tcpi_unacked;
}

} // namespace

asio::execution_context::id open_connections::id;

// Asks for the farewell under the lock: asked before, the server could begin to close in between
// and pass over this connection, since it did not read yet.
void connection_record::begin_read(int descriptor)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_descriptor = descriptor;
    m_is_reading = true;
    const auto* farewell = m_connections.farewell();
    if (farewell != nullptr) {
        say_farewell_locked(*farewell);
    }
}

void connection_record::end_read()
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_is_reading = false;
}

void connection_record::close()
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_descriptor = -1;
    m_is_reading = false;
}

void connection_record::say_farewell(const std::string& farewell)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    say_farewell_locked(farewell);
}

bool connection_record::has_said_farewell() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_has_said_farewell;
}

// The direction from the caller stays open: closing both would reset the connection if a request is
// on its way, and the caller may then lose the farewell.
void connection_record::say_farewell_locked(const std::string& farewell)
{
    if (!m_is_reading || m_has_said_farewell) {
        return;
    }
    m_has_said_farewell = true;
    // A caller that does not read its responses may miss the farewell; it must not block the
    // server.
    static_cast<void>(
        ::send(m_descriptor, farewell.data(), farewell.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    static_cast<void>(::shutdown(m_descriptor, SHUT_WR));
}

std::shared_ptr<connection_record> open_connections::add()
{
    std::shared_ptr<connection_record> record{new connection_record{*this},
                                              [this](connection_record* ended) {
                                                  remove(ended);
                                                  std::default_delete<connection_record>{}(ended);
                                              }};
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_records.insert(record.get());
    return record;
}

void open_connections::remove(connection_record* ended)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_records.erase(ended);
}

void open_connections::start_closing(std::string farewell)
{
    m_farewell = std::move(farewell);
    m_is_closing = true;
    const std::lock_guard<std::mutex> lock{m_mutex};
    for (auto* record : m_records) {
        record->say_farewell(m_farewell);
    }
}

void open_connections::wait_until_closed(milliseconds linger_time, time_point deadline) const
{
    while (is_answering() && now_point() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    const auto linger_end = now_point() + linger_time;
    while (!is_empty() && now_point() < linger_end) {
        std::this_thread::sleep_for(poll_interval);
    }
}

bool open_connections::is_answering() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return std::any_of(m_records.begin(), m_records.end(),
                       [](const auto* record) { return !record->has_said_farewell(); });
}

bool open_connections::is_empty() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_records.empty();
}

// Closing a listener resets the connections that wait in its queue, so none may be added before it
// is closed. A caller whose handshake is not answered repeats it after a second, and is then
// refused or reaches the next process on this port.
void stop_handshakes(int listener, time_point deadline)
{
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t syn_and_ack = 0x12;
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t whole_packet = 0xffff;
    std::array<sock_filter, 5> instructions{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
                                             BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn_and_ack),
                                             BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
                                             BPF_STMT(BPF_RET | BPF_K, 0),
                                             BPF_STMT(BPF_RET | BPF_K, whole_packet)}};
    const sock_fprog program{static_cast<unsigned short>(instructions.size()), instructions.data()};
    static_cast<void>(
        ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)));
    std::this_thread::sleep_for(handshake_time);
    while (waiting_connections(listener) > 0 && now_point() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace peridotrudder::internal
