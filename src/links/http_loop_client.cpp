#include "links/http_loop_client.hpp"

#include "links/http_transfer.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <map>

namespace peridotrudder::internal {

namespace {

/// One of libcurl's sockets, watched by the loop. It is closed by libcurl, not by this object.
struct watched_socket {
    explicit watched_socket(asio::io_context& loop, curl_socket_t socket)
        : m_descriptor{loop, socket}
    {
    }

    asio::posix::stream_descriptor m_descriptor;
    int m_requested_events{CURL_POLL_NONE};
    bool m_reading{false};
    bool m_writing{false};
    bool m_closed{false};
};

class loop_client : public http_client::implementation {
public:
    loop_client(asio::io_context& loop, long connections_per_host)
        : m_loop{loop},
          m_timer{loop},
          m_multi{make_multi()}
    {
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETFUNCTION, &loop_client::on_socket);
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERFUNCTION, &loop_client::on_timer);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS, connections_per_host);
    }

    loop_client(const loop_client&) = delete;
    loop_client& operator=(const loop_client&) = delete;
    loop_client(loop_client&&) = delete;
    loop_client& operator=(loop_client&&) = delete;

    ~loop_client() override
    {
        *m_alive = false;
        for (auto& [handle, call] : m_running) {
            curl_multi_remove_handle(m_multi.get(), handle);
        }
        auto broken = std::move(m_running);
        for (auto& [handle, call] : broken) {
            call.m_callback(tl::make_unexpected(transport_fault::broken));
        }
        broken.clear();
        // Closes the connections; libcurl removes their sockets from the map through `on_socket`.
        m_multi.reset();
        for (auto& [socket, watched] : m_sockets) {
            close(*watched);
        }
    }

    void send(http_call call, http_callback callback) override
    {
        auto started = std::make_unique<transfer>(std::move(call), m_handles.take(), &m_idle);
        CURL* handle = started->handle();
        m_running.emplace(handle, running_call{std::move(started), std::move(callback)});
        curl_multi_add_handle(m_multi.get(), handle);
    }

private:
    struct running_call {
        std::unique_ptr<transfer> m_transfer;
        http_callback m_callback;
    };

    static int on_socket(CURL* /*easy*/, curl_socket_t socket, int requested_events, void* self,
                         void* /*unused*/)
    {
        static_cast<loop_client*>(self)->watch(socket, requested_events);
        return 0;
    }

    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* self)
    {
        static_cast<loop_client*>(self)->set_timer(timeout_ms);
        return 0;
    }

    static void close(watched_socket& watched)
    {
        watched.m_closed = true;
        watched.m_descriptor.release();
    }

    void watch(curl_socket_t socket, int requested_events)
    {
        const auto found = m_sockets.find(socket);
        if (requested_events == CURL_POLL_REMOVE) {
            if (found != m_sockets.end()) {
                close(*found->second);
                m_sockets.erase(found);
            }
            return;
        }
        auto watched =
            found != m_sockets.end()
                ? found->second
                : m_sockets.emplace(socket, std::make_shared<watched_socket>(m_loop, socket))
                      .first->second;
        watched->m_requested_events = requested_events;
        wait_for(watched, socket);
    }

    void wait_for(const std::shared_ptr<watched_socket>& watched, curl_socket_t socket)
    {
        if ((watched->m_requested_events & CURL_POLL_IN) != 0 && !watched->m_reading) {
            watched->m_reading = true;
            watched->m_descriptor.async_wait(
                asio::posix::stream_descriptor::wait_read,
                [this, watched, socket, alive = m_alive](const asio::error_code& error) {
                    watched->m_reading = false;
                    if (*alive && !error) {
                        ready(watched, socket, CURL_CSELECT_IN);
                    }
                });
        }
        if ((watched->m_requested_events & CURL_POLL_OUT) != 0 && !watched->m_writing) {
            watched->m_writing = true;
            watched->m_descriptor.async_wait(
                asio::posix::stream_descriptor::wait_write,
                [this, watched, socket, alive = m_alive](const asio::error_code& error) {
                    watched->m_writing = false;
                    if (*alive && !error) {
                        ready(watched, socket, CURL_CSELECT_OUT);
                    }
                });
        }
    }

    void ready(const std::shared_ptr<watched_socket>& watched, curl_socket_t socket, int events)
    {
        if (watched->m_closed) {
            return;
        }
        int running = 0;
        curl_multi_socket_action(m_multi.get(), socket, events, &running);
        finish_completed();
        if (!watched->m_closed) {
            wait_for(watched, socket);
        }
    }

    void set_timer(long timeout_ms)
    {
        if (timeout_ms < 0) {
            m_timer.cancel();
            return;
        }
        // A timeout of zero goes through the loop as well, since libcurl must not be called from
        // its own callback.
        m_timer.expires_after(milliseconds{timeout_ms});
        m_timer.async_wait([this, alive = m_alive](const asio::error_code& error) {
            if (error || !*alive) {
                return;
            }
            int running = 0;
            curl_multi_socket_action(m_multi.get(), CURL_SOCKET_TIMEOUT, 0, &running);
            finish_completed();
        });
    }

    void finish_completed()
    {
        const auto alive = m_alive;
        int left = 0;
        while (const CURLMsg* message =
                   *alive ? curl_multi_info_read(m_multi.get(), &left) : nullptr) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL* handle = message->easy_handle;
            const CURLcode code = message->data.result;
            m_idle.ended(handle, code);
            curl_multi_remove_handle(m_multi.get(), handle);
            auto node = m_running.extract(handle);
            auto& call = node.mapped();
            auto result = call.m_transfer->result(code);
            m_handles.return_handle(call.m_transfer->release());
            call.m_callback(std::move(result));
        }
    }

    asio::io_context& m_loop;
    asio::steady_timer m_timer;
    idle_connections m_idle;
    multi_handle m_multi;
    handle_pool m_handles;
    std::map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
    std::map<CURL*, running_call> m_running;
    /// False once the client is destroyed; checked by handlers that are still pending on the loop.
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace

std::unique_ptr<http_client::implementation> make_loop_client(asio::io_context& loop,
                                                              long connections_per_host)
{
    return std::make_unique<loop_client>(loop, connections_per_host);
}

} // namespace peridotrudder::internal
