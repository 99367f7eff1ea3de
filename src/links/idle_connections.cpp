#include "links/idle_connections.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <tuple>

namespace peridotrudder::internal {

bool idle_connections::connection::operator<(const connection& other) const
{
    return std::tie(m_remote_address, m_remote_port, m_local_port) <
           std::tie(other.m_remote_address, other.m_remote_port, other.m_local_port);
}

void idle_connections::follow(CURL* handle)
{
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &idle_connections::on_close);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
}

void idle_connections::taken(std::string_view remote_address, int remote_port, int local_port)
{
    m_idle.erase({std::string{remote_address}, remote_port, local_port});
}

void idle_connections::ended(CURL* handle, CURLcode code)
{
    const auto used = connection_of(handle);
    if (code == CURLE_OK) {
        curl_socket_t socket = CURL_SOCKET_BAD;
        curl_easy_getinfo(handle, CURLINFO_ACTIVESOCKET, &socket);
        // There is none if the connection has been closed.
        if (socket != CURL_SOCKET_BAD) {
            m_idle[used] = socket;
        }
        return;
    }
    long new_connections = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &new_connections);
    // A call that times out on a new connection tells nothing of older ones.
    if (code == CURLE_OPERATION_TIMEDOUT && new_connections == 0) {
        shut_down(used);
    }
}

idle_connections::connection idle_connections::connection_of(CURL* handle)
{
    connection used;
    const char* address = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIMARY_IP, &address);
    used.m_remote_address = address == nullptr ? "" : address;
    curl_easy_getinfo(handle, CURLINFO_PRIMARY_PORT, &used.m_remote_port);
    curl_easy_getinfo(handle, CURLINFO_LOCAL_PORT, &used.m_local_port);
    return used;
}

int idle_connections::on_close(void* self, curl_socket_t socket)
{
    auto& idle = static_cast<idle_connections*>(self)->m_idle;
    for (auto entry = idle.begin(); entry != idle.end();) {
        entry = entry->second == socket ? idle.erase(entry) : std::next(entry);
    }
    return close(socket);
}

void idle_connections::shut_down(const connection& timed_out)
{
    // libcurl owns the sockets: it finds that these have ended, and closes them, before it would
    // use them again.
    const auto first = m_idle.lower_bound({timed_out.m_remote_address, timed_out.m_remote_port, 0});
    auto entry = first;
    while (entry != m_idle.end() && entry->first.m_remote_address == timed_out.m_remote_address &&
           entry->first.m_remote_port == timed_out.m_remote_port) {
        shutdown(entry->second, SHUT_RDWR);
        entry = m_idle.erase(entry);
    }
}

} // namespace peridotrudder::internal
