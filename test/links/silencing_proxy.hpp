#pragma once

#include <asio.hpp>

#include <array>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace peridotrudder {

/// A loopback proxy whose open connections can go silent for good, without a reset, while new ones
/// work. Thread-safe; runs on its own thread, and serves until it is destroyed.
class silencing_proxy {
public:
    explicit silencing_proxy(std::uint16_t target_port)
        : m_target{asio::ip::address_v4::loopback(), target_port},
          m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}}
    {
        accept();
        m_thread = std::thread{[this] { m_context.run(); }};
    }

    silencing_proxy(const silencing_proxy&) = delete;
    silencing_proxy& operator=(const silencing_proxy&) = delete;
    silencing_proxy(silencing_proxy&&) = delete;
    silencing_proxy& operator=(silencing_proxy&&) = delete;

    ~silencing_proxy()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void silence_open_connections()
    {
        for_each_open([](channel& open) { open.m_silent = true; });
    }

    void reset_open_connections()
    {
        for_each_open([](channel& open) {
            for (auto* socket : {&open.m_near, &open.m_far}) {
                asio::error_code ignored;
                socket->set_option(asio::socket_base::linger{true, 0}, ignored);
                socket->close(ignored);
            }
        });
    }

private:
    using buffer = std::array<char, 4096>;

    struct channel {
        explicit channel(asio::io_context& context) : m_near{context}, m_far{context} {}

        asio::ip::tcp::socket m_near;
        asio::ip::tcp::socket m_far;
        buffer m_outward{};
        buffer m_inward{};
        bool m_silent{false};
    };

    template <typename Action>
    void for_each_open(Action action)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            for (const auto& open : m_channels) {
                action(*open);
            }
            done.set_value();
        });
        done.get_future().wait();
    }

    void accept()
    {
        auto opened = std::make_shared<channel>(m_context);
        m_acceptor.async_accept(opened->m_near, [this, opened](const asio::error_code& error) {
            if (error) {
                return;
            }
            asio::error_code failed;
            opened->m_far.connect(m_target, failed);
            if (!failed) {
                m_channels.push_back(opened);
                pump(opened, opened->m_near, opened->m_far, opened->m_outward);
                pump(opened, opened->m_far, opened->m_near, opened->m_inward);
            }
            accept();
        });
    }

    void pump(const std::shared_ptr<channel>& on, asio::ip::tcp::socket& from,
              asio::ip::tcp::socket& to, buffer& bytes)
    {
        from.async_read_some(
            asio::buffer(bytes),
            [this, on, &from, &to, &bytes](const asio::error_code& error, std::size_t size) {
                if (error && on->m_silent) {
                    return;
                }
                asio::error_code ignored;
                if (error) {
                    to.close(ignored);
                    return;
                }
                if (!on->m_silent) {
                    asio::write(to, asio::buffer(bytes.data(), size), ignored);
                }
                pump(on, from, to, bytes);
            });
    }

    asio::io_context m_context;
    asio::ip::tcp::endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<channel>> m_channels;
    std::thread m_thread;
};

} // namespace peridotrudder
