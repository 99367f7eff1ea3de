#include "peridotrudder/jobs/queue_config.hpp"

namespace peridotrudder {

std::string queue_key(const queue_config& queue)
{
    return queue.m_host + queue.m_prefix;
}

} // namespace peridotrudder
