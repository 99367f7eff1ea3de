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
    return source.begun() ? job_state::running : job_state::queued;
}

} // namespace peridotrudder
