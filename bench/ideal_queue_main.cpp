/// @file
/// Computes how long the requests of a load would have waited in one ideal queue over all slots of
/// a pool: the limit that the measured waits are compared with.
///
/// Reads the file that `peridot-load --csv_out` wrote, and takes the requests that were done.

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

DEFINE_string(csv, "", "File that peridot-load wrote with --csv_out");
DEFINE_string(pool, "", "Pool whose requests are taken");
DEFINE_uint32(slots, 96, "Slots of the pool");

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

/// Runs the arrivals through one queue with all slots, most pressing class first.
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
            const auto& each = arrivals[next];
            queue.push({next, each.m_class, time_point{}, false});
            ++next;
            start_waiting(each.m_at_ms);
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
        "--csv FILE --pool NAME --slots N\n\nPrints the waits in one ideal queue.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << fmt::format("{:<16} {:>8} {:>9} {:>9} {:>9}\n", "STREAM", "REQUESTS", "WAIT-P50",
                             "P99", "MAX");
    for (auto& [stream, waits] : waits_of(read_arrivals())) {
        std::sort(waits.begin(), waits.end());
        const auto at = [&sorted = waits](double of) {
            return sorted[static_cast<std::size_t>(of * static_cast<double>(sorted.size() - 1))];
        };
        std::cout << fmt::format("{:<16} {:>8} {:>9.1f} {:>9.1f} {:>9.1f}\n", stream, waits.size(),
                                 at(0.5), at(0.99), at(1.0));
    }
    return 0;
}
