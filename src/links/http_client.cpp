#include "links/http_loop_client.hpp"
#include "links/http_transfer.hpp"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace peridotrudder {

namespace {

constexpr int poll_timeout_ms = 1'000;

using internal::transfer;

/// Runs on a thread of its own.
class threaded_client : public http_client::implementation {
public:
    threaded_client() : m_multi{internal::make_multi()}
    {
        m_thread = std::thread{[this] { run(); }};
    }

    threaded_client(const threaded_client&) = delete;
    threaded_client& operator=(const threaded_client&) = delete;
    threaded_client(threaded_client&&) = delete;
    threaded_client& operator=(threaded_client&&) = delete;

    ~threaded_client() override
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi.get());
        m_thread.join();
    }

    void send(http_call call, http_callback callback) override
    {
        {
            const std::lock_guard<std::mutex> lock{m_mutex};
            m_waiting.push_back({std::move(call), std::move(callback)});
        }
        curl_multi_wakeup(m_multi.get());
    }

private:
    struct waiting_call {
        http_call m_call;
        http_callback m_callback;
    };

    struct running_call {
        std::unique_ptr<transfer> m_transfer;
        http_callback m_callback;
    };

    void run()
    {
        while (!m_stopping) {
            start_waiting();
            int running = 0;
            curl_multi_perform(m_multi.get(), &running);
            finish_completed();
            curl_multi_poll(m_multi.get(), nullptr, 0, poll_timeout_ms, nullptr);
        }
        abort_all();
    }

    void start_waiting()
    {
        std::deque<waiting_call> waiting;
        {
            const std::lock_guard<std::mutex> lock{m_mutex};
            waiting.swap(m_waiting);
        }
        for (auto& waiting_entry : waiting) {
            auto started = std::make_unique<transfer>(std::move(waiting_entry.m_call),
                                                      m_handles.take(), &m_idle);
            CURL* handle = started->handle();
            m_running.emplace(
                handle, running_call{std::move(started), std::move(waiting_entry.m_callback)});
            curl_multi_add_handle(m_multi.get(), handle);
        }
    }

    void finish_completed()
    {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            // Removing the handle invalidates the message, so its members are copied first.
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

    void abort_all()
    {
        for (auto& [handle, call] : m_running) {
            curl_multi_remove_handle(m_multi.get(), handle);
            call.m_callback(tl::make_unexpected(transport_fault::broken));
        }
        m_running.clear();
        for (auto& waiting_entry : m_waiting) {
            waiting_entry.m_callback(tl::make_unexpected(transport_fault::not_connected));
        }
    }

    internal::idle_connections m_idle;
    internal::multi_handle m_multi;
    internal::handle_pool m_handles;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::deque<waiting_call> m_waiting;
    std::map<CURL*, running_call> m_running;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<http_client> http_client::create()
{
    internal::initialize_library();
    return std::unique_ptr<http_client>{new http_client{std::make_unique<threaded_client>()}};
}

std::unique_ptr<http_client> http_client::create_on(asio::io_context& loop,
                                                    long connections_per_host)
{
    internal::initialize_library();
    return std::unique_ptr<http_client>{
        new http_client{internal::make_loop_client(loop, connections_per_host)}};
}

http_client::http_client(std::unique_ptr<implementation> impl) : m_implementation{std::move(impl)}
{
}

http_client::~http_client() = default;

void http_client::send(http_call call, http_callback callback)
{
    m_implementation->send(std::move(call), std::move(callback));
}

http_result fetch(const http_call& call)
{
    internal::initialize_library();
    internal::handle_pool handles;
    transfer single{call, handles.take(), nullptr};
    const CURLcode code = curl_easy_perform(single.handle());
    return single.result(code);
}

} // namespace peridotrudder
