#include "peridotrudder/planning/fleet_planner.hpp"

namespace peridotrudder {

std::unique_ptr<fleet_planner> fleet_planner::create(planner_options /*options*/,
                                                     std::uint64_t /*fence*/, time_point /*now*/)
{
    return std::make_unique<fleet_planner>();
}

} // namespace peridotrudder
