#pragma once

/// @file
/// The idle connections that a client may use again.

#include <curl/curl.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace peridotrudder::internal {

/// Follows a client's idle connections, so that those to one host can be given up together.
///
/// libcurl closes the connection whose call has timed out, but uses the other ones of its pool
/// again. When a host's connections have gone silent, each of them would cost a timeout. Not
/// thread-safe. It must outlive the client's multi handle, which closes the connections.
class idle_connections {
public:
    /// Sets the options of a call by which its connection is followed.
    void follow(CURL* handle);
    /// Records that a call is about to use a connection.
    void taken(std::string_view remote_address, int remote_port, int local_port);
    /// Handles the end of a call: its connection is idle from now on, or has timed out. Must be
    /// called before the handle is removed from its multi handle.
    void ended(CURL* handle, CURLcode code);

private:
    struct connection {
        std::string m_remote_address;
        long m_remote_port{0};
        long m_local_port{0};

        bool operator<(const connection& other) const;
    };

    static connection connection_of(CURL* handle);
    static int on_close(void* self, curl_socket_t socket);
    void shut_down(const connection& timed_out);

    std::map<connection, curl_socket_t> m_idle;
};

} // namespace peridotrudder::internal
