#include "peridotrudder/links/http_client.hpp"

#include <curl/curl.h>

#include <atomic>
#include <cctype>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <new>
#include <thread>
#include <utility>

namespace peridotrudder {

namespace {

constexpr int poll_timeout_ms = 1'000;
constexpr long max_idle_connections = 512;

struct easy_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

struct multi_deleter {
    void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
using multi_handle = std::unique_ptr<CURLM, multi_deleter>;

struct list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using header_list = std::unique_ptr<curl_slist, list_deleter>;

/// Initializes libcurl once for the process.
void initialize_library()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK) {
        throw std::bad_alloc{};
    }
}

/// One call under way: libcurl's handle and everything that it points into.
class transfer {
public:
    explicit transfer(http_call call) : m_call{std::move(call)}, m_easy{curl_easy_init()}
    {
        if (!m_easy) {
            throw std::bad_alloc{};
        }
        set_request();
        set_limits();
        set_receivers();
    }

    CURL* handle() const { return m_easy.get(); }

    http_result result(CURLcode code)
    {
        if (m_too_long) {
            return tl::make_unexpected(transport_fault::answer_too_long);
        }
        if (m_crossed) {
            return tl::make_unexpected(transport_fault::crossed_answer);
        }
        if (code != CURLE_OK) {
            return tl::make_unexpected(fault_of(code));
        }
        const auto& required = m_call.m_required_header;
        if (required && find_header(m_response.m_headers, required->m_name) != required->m_value) {
            return tl::make_unexpected(transport_fault::crossed_answer);
        }
        if (!is_delimited()) {
            return tl::make_unexpected(transport_fault::incomplete_answer);
        }
        long status = 0;
        curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status);
        m_response.m_status = static_cast<std::uint32_t>(status);
        return std::move(m_response);
    }

private:
    void set_request()
    {
        curl_easy_setopt(handle(), CURLOPT_URL, m_call.m_url.c_str());
        if (m_call.m_method == "HEAD") {
            curl_easy_setopt(handle(), CURLOPT_NOBODY, 1L);
        }
        else {
            curl_easy_setopt(handle(), CURLOPT_CUSTOMREQUEST, m_call.m_method.c_str());
        }
        const bool has_body = !m_call.m_body.empty() || m_call.m_method == "POST" ||
                              m_call.m_method == "PUT" || m_call.m_method == "PATCH";
        if (has_body) {
            curl_easy_setopt(handle(), CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(m_call.m_body.size()));
            curl_easy_setopt(handle(), CURLOPT_POSTFIELDS, m_call.m_body.c_str());
        }
        append_header("Expect:");
        if (has_body && find_header(m_call.m_headers, "Content-Type").empty()) {
            append_header("Content-Type: application/json");
        }
        for (const auto& each : m_call.m_headers) {
            append_header(fmt::format("{}: {}", each.m_name, each.m_value));
        }
        curl_easy_setopt(handle(), CURLOPT_HTTPHEADER, m_headers.get());
    }

    void append_header(const std::string& line)
    {
        curl_slist* extended = curl_slist_append(m_headers.get(), line.c_str());
        if (extended == nullptr) {
            throw std::bad_alloc{};
        }
        // The list keeps its head once it has one: only the first append changes the owner.
        static_cast<void>(m_headers.release());
        m_headers.reset(extended);
    }

    void set_limits()
    {
        curl_easy_setopt(handle(), CURLOPT_NOSIGNAL, 1L);
        // Proxies named by the environment are none of ours.
        curl_easy_setopt(handle(), CURLOPT_PROXY, "");
        curl_easy_setopt(handle(), CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle(), CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(handle(), CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle(), CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(m_call.m_connect_timeout.count()));
        curl_easy_setopt(handle(), CURLOPT_TIMEOUT_MS, static_cast<long>(m_call.m_timeout.count()));
        if (!m_call.m_may_reuse_connection) {
            curl_easy_setopt(handle(), CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle(), CURLOPT_FORBID_REUSE, 1L);
        }
    }

    void set_receivers()
    {
        curl_easy_setopt(handle(), CURLOPT_PRIVATE, this);
        curl_easy_setopt(handle(), CURLOPT_WRITEDATA, this);
        curl_easy_setopt(handle(), CURLOPT_WRITEFUNCTION, &transfer::on_body);
        curl_easy_setopt(handle(), CURLOPT_HEADERDATA, this);
        curl_easy_setopt(handle(), CURLOPT_HEADERFUNCTION, &transfer::on_header);
    }

    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self)
    {
        return static_cast<transfer*>(self)->take_body({data, size * count});
    }

    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self)
    {
        return static_cast<transfer*>(self)->take_header({data, size * count});
    }

    std::size_t take_body(std::string_view bytes)
    {
        if (m_response.m_body.size() + bytes.size() > m_call.m_max_answer_bytes) {
            m_too_long = true;
            return 0;
        }
        m_response.m_body.append(bytes);
        return bytes.size();
    }

    std::size_t take_header(std::string_view line)
    {
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            if (line.substr(0, 5) == "HTTP/") {
                // A final response follows an interim one: only the last headers count.
                m_response.m_headers.clear();
            }
            return line.size();
        }
        const auto trim = [](std::string_view text) {
            while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0) {
                text.remove_prefix(1);
            }
            while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
                text.remove_suffix(1);
            }
            return std::string{text};
        };
        http_header header{std::string{line.substr(0, colon)}, trim(line.substr(colon + 1))};
        m_response.m_headers.push_back(header);
        const auto& required = m_call.m_required_header;
        if (required && find_header({header}, required->m_name) != required->m_value &&
            !find_header({header}, required->m_name).empty()) {
            // Refusing the header makes libcurl close the connection: what else is on it is not
            // ours either.
            m_crossed = true;
            return 0;
        }
        return line.size();
    }

    transport_fault fault_of(CURLcode code) const
    {
        long request_bytes = 0;
        curl_easy_getinfo(handle(), CURLINFO_REQUEST_SIZE, &request_bytes);
        if (code == CURLE_COULDNT_CONNECT || request_bytes == 0) {
            return transport_fault::not_connected;
        }
        return code == CURLE_PARTIAL_FILE ? transport_fault::incomplete_answer
                                          : transport_fault::broken;
    }

    /// Returns whether the answer said where it ends, so that it is known to be whole.
    bool is_delimited() const
    {
        constexpr std::uint32_t no_content = 204;
        constexpr std::uint32_t not_modified = 304;
        long status = 0;
        curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status);
        return status == no_content || status == not_modified || m_call.m_method == "HEAD" ||
               !find_header(m_response.m_headers, "Content-Length").empty() ||
               !find_header(m_response.m_headers, "Transfer-Encoding").empty();
    }

    http_call m_call;
    easy_handle m_easy;
    header_list m_headers;
    http_response m_response;
    bool m_too_long{false};
    bool m_crossed{false};
};

} // namespace

class http_client::implementation {
public:
    implementation() : m_multi{curl_multi_init()}
    {
        if (!m_multi) {
            throw std::bad_alloc{};
        }
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, max_idle_connections);
        curl_multi_setopt(m_multi.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        m_thread = std::thread{[this] { run(); }};
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation()
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi.get());
        m_thread.join();
    }

    void send(http_call call, http_callback callback)
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
            finish_done();
            curl_multi_poll(m_multi.get(), nullptr, 0, poll_timeout_ms, nullptr);
        }
        break_all();
    }

    void start_waiting()
    {
        std::deque<waiting_call> waiting;
        {
            const std::lock_guard<std::mutex> lock{m_mutex};
            waiting.swap(m_waiting);
        }
        for (auto& each : waiting) {
            auto started = std::make_unique<transfer>(std::move(each.m_call));
            CURL* handle = started->handle();
            m_running.emplace(handle, running_call{std::move(started), std::move(each.m_callback)});
            curl_multi_add_handle(m_multi.get(), handle);
        }
    }

    void finish_done()
    {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            // The message is gone once the handle is removed, so its parts are copied first.
            CURL* handle = message->easy_handle;
            const CURLcode code = message->data.result;
            curl_multi_remove_handle(m_multi.get(), handle);
            auto node = m_running.extract(handle);
            auto& call = node.mapped();
            call.m_callback(call.m_transfer->result(code));
        }
    }

    void break_all()
    {
        for (auto& [handle, call] : m_running) {
            curl_multi_remove_handle(m_multi.get(), handle);
            call.m_callback(tl::make_unexpected(transport_fault::broken));
        }
        m_running.clear();
        for (auto& each : m_waiting) {
            each.m_callback(tl::make_unexpected(transport_fault::not_connected));
        }
    }

    multi_handle m_multi;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::deque<waiting_call> m_waiting;
    std::map<CURL*, running_call> m_running;
    std::thread m_thread;
};

std::unique_ptr<http_client> http_client::create()
{
    initialize_library();
    return std::unique_ptr<http_client>{new http_client{std::make_unique<implementation>()}};
}

http_client::http_client(std::unique_ptr<implementation> inside) : m_inside{std::move(inside)} {}

http_client::~http_client() = default;

void http_client::send(http_call call, http_callback callback)
{
    m_inside->send(std::move(call), std::move(callback));
}

http_result fetch(const http_call& call)
{
    initialize_library();
    transfer single{call};
    const CURLcode code = curl_easy_perform(single.handle());
    return single.result(code);
}

} // namespace peridotrudder
