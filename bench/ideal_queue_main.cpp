/// @file
/// Computes how long the requests of a load test would have waited in a single ideal queue for all
/// slots of a pool, as the limit that measured waits are compared with.
///
/// Reads a file written by `peridot-load --csv_out` and uses only the requests that were done.

#include "peridotrudder/routing/work_queue.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <queue>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(csv, "", "CSV file written by peridot-load --csv_out");
DEFINE_string(pool, "", "Pool whose requests are used");
DEFINE_uint32(slots, 96, "Number of slots of the pool");

namespace {

using namespace peridotrudder;

struct arrival {
    std::string m_stream;
    double m_at_ms{0};
    double m_run_ms{0};
    work_class m_class{work_class::normal};
};

work_class class_of(int urgency)
{
    constexpr int last_urgent = 1;
    constexpr int last_normal = 4;
    if (urgency <= last_urgent) {
        return work_class::urgent;
    }
    return urgency <= last_normal ? work_class::normal : work_class::archive;
}

std::vector<arrival> read_arrivals()
{
    std::vector<arrival> arrivals;
    std::ifstream file{FLAGS_csv};
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        std::vector<std::string> cells;
        std::istringstream stream{line};
        for (std::string cell; std::getline(stream, cell, ',');) {
            cells.push_back(cell);
        }
        if (cells.size() == 9 && cells[2] == "done" && cells[8] == FLAGS_pool) {
            arrivals.push_back({cells[0], std::stod(cells[4]), std::stod(cells[6]),
                                class_of(std::stoi(cells[7]))});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto& left, const auto& right) { return left.m_at_ms < right.m_at_ms; });
    return arrivals;
}

/// Returns the waits by stream when all slots serve a single queue, most urgent class first.
std::map<std::string, std::vector<double>> waits_of(const std::vector<arrival>& arrivals)
{
    std::map<std::string, std::vector<double>> waits;
    std::priority_queue<double, std::vector<double>, std::greater<>> ends;
    work_queue queue;
    std::size_t next = 0;
    const auto start_waiting = [&](double now) {
        while (queue.size() > 0 && ends.size() < FLAGS_slots) {
            const auto& started = arrivals[queue.pop(true)->m_ticket];
            waits[started.m_stream].push_back(now - started.m_at_ms);
            ends.push(now + started.m_run_ms);
        }
    };
    while (next < arrivals.size() || queue.size() > 0) {
        const bool arrives =
            next < arrivals.size() && (ends.empty() || arrivals[next].m_at_ms <= ends.top());
        if (arrives) {
            const auto& arriving = arrivals[next];
            queue.push({next, arriving.m_class, time_point{}, false});
            ++next;
            start_waiting(arriving.m_at_ms);
            continue;
        }
        const double now = ends.top();
        ends.pop();
        start_waiting(now);
    }
    return waits;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "--csv FILE --pool NAME --slots N\n\nPrints the waiting times in a single ideal queue.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << fmt::format("{:<16} {:>8} {:>9} {:>9} {:>9}\n", "STREAM", "REQUESTS", "WAIT-P50",
                             "P99", "MAX");
    for (auto& [stream, waits] : waits_of(read_arrivals())) {
        std::sort(waits.begin(), waits.end());
        const auto at = [&sorted = waits](double quantile) {
            return sorted[static_cast<std::size_t>(quantile *
                                                   static_cast<double>(sorted.size() - 1))];
        };
        std::cout << fmt::format("{:<16} {:>8} {:>9.1f} {:>9.1f} {:>9.1f}\n", stream, waits.size(),
                                 at(0.5), at(0.99), at(1.0));
    }
    return 0;
}
