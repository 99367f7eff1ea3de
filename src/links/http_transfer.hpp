#pragma once

/// @file
/// A call in progress in libcurl; shared by both clients.

#include "links/idle_connections.hpp"
#include "peridotrudder/links/http_client.hpp"

#include <curl/curl.h>

#include <cctype>
#include <fmt/format.h>
#include <memory>
#include <new>
#include <string>
#include <string_view>
#include <utility>

namespace peridotrudder::internal {

/// Allows several connections per worker of a large fleet, since a new connection costs more than a
/// call.
constexpr long max_idle_connections = 2'048;

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
inline void initialize_library()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK) {
        throw std::bad_alloc{};
    }
}

/// A pool of idle easy handles, since creating one costs more than a call.
class handle_pool {
public:
    easy_handle take()
    {
        if (m_idle.empty()) {
            easy_handle made{curl_easy_init()};
            if (!made) {
                throw std::bad_alloc{};
            }
            return made;
        }
        auto handle = std::move(m_idle.back());
        m_idle.pop_back();
        return handle;
    }

    void return_handle(easy_handle handle)
    {
        constexpr std::size_t max_idle_handles = 64;
        if (m_idle.size() < max_idle_handles) {
            curl_easy_reset(handle.get());
            m_idle.push_back(std::move(handle));
        }
    }

private:
    std::vector<easy_handle> m_idle;
};

/// A call in progress: its easy handle and all data that the handle refers to.
class transfer {
public:
    /// `idle` follows the call's connection; null if it is not used again.
    transfer(http_call call, easy_handle handle, idle_connections* idle)
        : m_call{std::move(call)},
          m_easy{std::move(handle)},
          m_idle{idle}
    {
        set_request();
        set_limits();
        set_receivers();
        if (m_idle != nullptr) {
            m_idle->follow(this->handle());
        }
    }

    CURL* handle() const { return m_easy.get(); }
    /// Releases the handle; the transfer must not be used any more.
    easy_handle release() { return std::move(m_easy); }

    http_result result(CURLcode code)
    {
        if (m_too_long) {
            return tl::make_unexpected(transport_fault::answer_too_long);
        }
        if (m_mismatched) {
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
        m_response.m_request_repeated = m_attempts > 1;
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
        for (const auto& header : m_call.m_headers) {
            append_header(fmt::format("{}: {}", header.m_name, header.m_value));
        }
        curl_easy_setopt(handle(), CURLOPT_HTTPHEADER, m_headers.get());
    }

    void append_header(const std::string& line)
    {
        curl_slist* extended = curl_slist_append(m_headers.get(), line.c_str());
        if (extended == nullptr) {
            throw std::bad_alloc{};
        }
        // `curl_slist_append` returns the same head except for the first element, so ownership is
        // moved without freeing the list.
        static_cast<void>(m_headers.release());
        m_headers.reset(extended);
    }

    void set_limits()
    {
        curl_easy_setopt(handle(), CURLOPT_NOSIGNAL, 1L);
        // Ignores proxies set in environment variables.
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
        curl_easy_setopt(handle(), CURLOPT_PREREQDATA, this);
        curl_easy_setopt(handle(), CURLOPT_PREREQFUNCTION, &transfer::on_attempt);
        curl_easy_setopt(handle(), CURLOPT_WRITEDATA, this);
        curl_easy_setopt(handle(), CURLOPT_WRITEFUNCTION, &transfer::on_body);
        curl_easy_setopt(handle(), CURLOPT_HEADERDATA, this);
        curl_easy_setopt(handle(), CURLOPT_HEADERFUNCTION, &transfer::on_header);
    }

    /// Called each time the request is about to be sent on a connection.
    static int on_attempt(void* self, char* remote_address, char* /*local_address*/,
                          int remote_port, int local_port)
    {
        auto& sent = *static_cast<transfer*>(self);
        if (sent.m_idle != nullptr) {
            sent.m_idle->taken(remote_address, remote_port, local_port);
        }
        ++sent.m_attempts;
        const bool permitted = sent.m_attempts == 1 || sent.m_call.m_may_be_repeated;
        return permitted ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
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
                // A final response may follow an interim one: only the headers of the last one
                // count.
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
            // Rejecting the header makes libcurl close the connection, whose remaining data belongs
            // to other requests as well.
            m_mismatched = true;
            return 0;
        }
        return line.size();
    }

    transport_fault fault_of(CURLcode code) const
    {
        // Counts all attempts of the call: libcurl repeats a request by itself if a reused
        // connection ends without an answer, and `code` then tells of the last attempt only.
        long request_bytes = 0;
        curl_easy_getinfo(handle(), CURLINFO_REQUEST_SIZE, &request_bytes);
        if (request_bytes == 0) {
            return transport_fault::not_connected;
        }
        return code == CURLE_PARTIAL_FILE ? transport_fault::incomplete_answer
                                          : transport_fault::broken;
    }

    /// Returns whether the answer delimits its body, so that it is known to be complete.
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
    idle_connections* m_idle;
    header_list m_headers;
    http_response m_response;
    int m_attempts{0};
    bool m_too_long{false};
    bool m_mismatched{false};
};

/// Returns a new multi handle with the limits that all clients share. Throws `std::bad_alloc`.
inline multi_handle make_multi()
{
    multi_handle made{curl_multi_init()};
    if (!made) {
        throw std::bad_alloc{};
    }
    curl_multi_setopt(made.get(), CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(made.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return made;
}

} // namespace peridotrudder::internal
