#include "peridotrudder/scheduling/job_call.hpp"

namespace peridotrudder {

job_state visible_state(const job& source)
{
    switch (source.phase()) {
    case job_phase::completed:
        return job_state::completed;
    case job_phase::failed:
        return job_state::failed;
    case job_phase::cancelled:
        return job_state::cancelled;
    case job_phase::active:
        break;
    }
    // A start may be known only to this process, whereas placed tasks are in the job's record.
    const bool runs = source.begun() || source.placed_tasks() > 0;
    return runs ? job_state::running : job_state::queued;
}

} // namespace peridotrudder
