#pragma once

/// @file
/// The state of a process's links to and from its peers.

#include "peridotrudder/links/link_attempts.hpp"
#include "peridotrudder/links/link_keepalive.hpp"
#include "peridotrudder/links/peer_mesh.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder::internal {

/// Identifies a connection; the library that runs it owns it.
using connection_handle = std::weak_ptr<void>;

bool same_connection(const connection_handle& left, const connection_handle& right);

/// The links that this process opens, one to each peer. Decides what is done with their
/// connections, and does none of it. Thread-safe.
class outgoing_links {
public:
    /// What a new list of peers ends.
    struct ended_links {
        std::vector<connection_handle> m_open;
        std::vector<connection_handle> m_attempts;
        /// Incarnations of the peers whose links were open.
        std::vector<std::string> m_dropped;
    };
    struct keepalive_steps {
        std::vector<connection_handle> m_to_ping;
        /// Links that did not answer, with their peers.
        std::vector<std::pair<std::string, connection_handle>> m_dead;
    };
    struct attempt_steps {
        std::vector<peer_endpoint> m_to_open;
        std::vector<connection_handle> m_given_up;
        /// Texts about those that were given up and are to be reported.
        std::vector<std::string> m_failures;
    };
    /// What ended when a link opened.
    struct ended_gap {
        milliseconds m_missing_for{0};
        int m_failures{0};
    };

    explicit outgoing_links(milliseconds check_interval) : m_check_interval{check_interval} {}

    ended_links replace(const std::vector<peer_endpoint>& peers, time_point now);

    /// Returns the connection of an open link, on which a message is about to be sent.
    std::optional<connection_handle> use(const std::string& peer);
    /// The peer has sent a message: it may also expect some.
    void peer_sent(const std::string& peer);
    /// The peer has opened a link to this process.
    void peer_lives(const std::string& peer);

    /// Counts an interval of the open links.
    keepalive_steps check_open(time_point now);
    /// Counts an interval of the missing links, or between two of them returns the attempts that
    /// are due for links that no attempt has failed to open.
    attempt_steps check_missing(bool interval, const std::function<unsigned()>& random,
                                time_point now);

    void started(const std::string& peer, const connection_handle& connection);
    void connected(const std::string& peer, const connection_handle& connection);
    /// Returns nothing if the peer was dropped, or the attempt given up: the connection is to be
    /// closed.
    std::optional<ended_gap> opened(const std::string& peer, const connection_handle& connection,
                                    time_point now);
    void answered(const std::string& peer, const connection_handle& connection);
    /// Returns the text to report; empty if the attempt was a former one, or a failure of this link
    /// was reported lately.
    std::string failed(const std::string& peer, const connection_handle& connection,
                       const std::string& cause, time_point now);
    /// Returns whether an open link has ended by the end of this connection.
    bool closed(const std::string& peer, const connection_handle& connection, time_point now);

private:
    struct link {
        peer_endpoint m_endpoint;
        /// The open connection, or that of the present attempt to open one.
        connection_handle m_connection;
        link_keepalive m_keepalive;
        bool m_open{false};
        link_attempts m_attempts;
        time_point m_missing_since;
        time_point m_reported_at;
    };

    /// Returns the link if this is its present connection, otherwise null.
    link* find(const std::string& peer, const connection_handle& connection);
    static std::string describe_failure(link& failed_link, const std::string& cause,
                                        time_point now);

    const milliseconds m_check_interval;
    std::mutex m_mutex;
    std::map<std::string, link> m_links;
};

/// The links that peers have opened to this process, by their incarnation. Not thread-safe.
class accepted_links {
public:
    /// Returns the connection that the new one replaces: a peer uses only the one that it opened
    /// last.
    connection_handle accept(const std::string& peer, const connection_handle& connection);
    void remove(const std::string& peer, const connection_handle& connection);
    /// The connection has carried a message or a ping.
    void used(const std::string& peer, const connection_handle& connection);
    /// Counts an interval, and returns the connections that have been silent for too long.
    std::vector<connection_handle> check();

private:
    struct link {
        connection_handle m_connection;
        /// Check intervals since the last message or ping.
        int m_silent_intervals{0};
    };

    std::map<std::string, link> m_links;
};

} // namespace peridotrudder::internal
