#include "peridotrudder/scheduling/placement_question.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

std::string describe_verdict(const placement_report& report)
{
    switch (report.m_verdict) {
    case placement_verdict::starts:
        return "starts now on " + report.m_worker;
    case placement_verdict::quota:
        return "waits for its tenant's quota";
    case placement_verdict::ticket:
        return "waits for a ticket of the placement policy";
    case placement_verdict::rack:
        return "waits for room on the rack that it runs faster on";
    case placement_verdict::no_room:
        return "waits for room";
    case placement_verdict::turn:
        return "waits for its turn";
    case placement_verdict::dependency:
        return "waits for the steps that it depends on";
    case placement_verdict::not_due:
        return "is not due yet";
    case placement_verdict::trial:
        return "waits for a trial";
    case placement_verdict::stopping:
        return "waits for the end of an earlier run";
    case placement_verdict::gang:
        return "waits for the end of another run of its gang";
    case placement_verdict::no_worker:
        return "waits for a worker: none of the pool takes work now";
    case placement_verdict::nothing_waits:
        return "has no task that waits";
    }
    return "";
}

std::string describe_obstacle(worker_obstacle obstacle)
{
    switch (obstacle) {
    case worker_obstacle::none:
        return "has room for it";
    case worker_obstacle::leaving:
        return "its VM is being drained";
    case worker_obstacle::unlisted:
        return "is not listed";
    case worker_obstacle::unknown_capacity:
        return "has an unknown capacity";
    case worker_obstacle::unconfirmed:
        return "has not confirmed the owner's token";
    case worker_obstacle::restart_suspected:
        return "may have restarted";
    case worker_obstacle::draining:
        return "drains";
    case worker_obstacle::silent:
        return "does not answer";
    case worker_obstacle::held_back:
        return "has rejected a start just now";
    case worker_obstacle::label:
        return "lacks the label";
    case worker_obstacle::cpu:
        return "has too little CPU free";
    case worker_obstacle::memory:
        return "has too little memory free";
    case worker_obstacle::accelerators:
        return "has too few accelerators free";
    case worker_obstacle::trial:
        return "has a task on trial, or is kept for one";
    case worker_obstacle::unhealthy:
        return "is unhealthy";
    case worker_obstacle::max_per_worker:
        return "has as many tasks of the step as it may";
    case worker_obstacle::ticket:
        return "has no ticket";
    case worker_obstacle::recent_start:
        return "has started another task just now";
    case worker_obstacle::pending_starts:
        return "has not answered as many starts as may wait for it";
    case worker_obstacle::other_rack:
        return "is on another rack";
    }
    return "";
}

std::string describe_error(placement_error error)
{
    switch (error) {
    case placement_error::none:
        return "";
    case placement_error::bad_question:
        return "the question is not valid";
    case placement_error::no_configuration:
        return "the owner has not read a configuration yet";
    case placement_error::unknown_queue:
        return "there is no such queue";
    case placement_error::unknown_tenant:
        return "there is no such tenant";
    case placement_error::unknown_job:
        return "the queue has no such job";
    case placement_error::job_ended:
        return "the job has ended";
    case placement_error::too_much_waiting:
        return "too much waits to find out";
    case placement_error::busy:
        return "the owner has been asked too often, ask again later";
    case placement_error::no_owner:
        return "no owner is known or answers";
    case placement_error::not_supported:
        return "the owner runs a version that can't answer";
    }
    return "";
}

std::string to_text(const resources& amount)
{
    return fmt::format("{} millicores, {} MB, {} accelerators", amount.m_cpu_millis,
                       amount.m_memory_mb, amount.m_accelerators);
}

std::string with_detail(const std::string& text, const std::string& detail)
{
    return detail.empty() ? text : text + ": " + detail;
}

std::string describe_workers(const placement_report& report)
{
    const auto describe = [&report](worker_obstacle obstacle) {
        const bool another_comes_first =
            obstacle == worker_obstacle::none && report.m_verdict == placement_verdict::starts;
        return another_comes_first ? "could take it; another worker comes first"
                                   : describe_obstacle(obstacle);
    };
    std::string text;
    for (const auto& worker : report.m_workers) {
        text += fmt::format("  {:<20} {:<12} {}; free: {}\n", worker.m_worker, worker.m_rack,
                            describe(worker.m_obstacle), to_text(worker.m_room));
    }
    for (const auto& [name, count] : report.m_other_workers) {
        const auto obstacle = from_string<worker_obstacle>(name);
        text += fmt::format("  {} more: {}\n", count, obstacle ? describe(*obstacle) : name);
    }
    return text.empty() ? text : "not on:\n" + text;
}

} // namespace

std::optional<std::pair<std::string, std::string>> split_queue(const std::string& queue)
{
    const auto slash = queue.find('/');
    if (slash == std::string::npos || slash == 0) {
        return std::nullopt;
    }
    return std::pair{queue.substr(0, slash), queue.substr(slash)};
}

placement_report failed_report(const placement_question& question, placement_error error,
                               std::string detail)
{
    placement_report report;
    report.m_error = error;
    report.m_queue = question.m_queue;
    report.m_job = question.m_job.value_or("");
    report.m_detail = std::move(detail);
    return report;
}

std::string to_json_text(const placement_report& report)
{
    return encode_json(report).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string to_text(const placement_report& report)
{
    const auto subject = report.m_job.empty() ? "queue " + report.m_queue
                                              : "job " + report.m_job + " of " + report.m_queue;
    if (report.m_error != placement_error::none) {
        return with_detail(subject + ": " + describe_error(report.m_error), report.m_detail) + '\n';
    }
    std::string text = subject;
    if (!report.m_task.empty()) {
        text += fmt::format(", task {} ({}), pool {}", report.m_task, to_text(report.m_required),
                            report.m_pool);
    }
    text += report.m_tenant.empty() ? "\n" : ", tenant " + report.m_tenant + '\n';
    text += with_detail(describe_verdict(report), report.m_detail) + '\n';
    if (report.m_wait) {
        text += fmt::format("expected to wait for {} ms\n", report.m_wait->count());
    }
    return text + describe_workers(report);
}

} // namespace peridotrudder
