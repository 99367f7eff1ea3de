/// @file
/// Derives every limit from a contract.

#include "peridotrudder/contracts/limits.hpp"

#include <iostream>

int main()
{
    peridotrudder::contract schools;
    schools.m_customer = "schools";
    schools.m_capacity_slots = 8;
    schools.m_time_to_wait = peridotrudder::milliseconds{1'700};
    schools.m_availability_ppm = 999'000;

    const auto limits = peridotrudder::derive_limits(schools);
    std::cout << peridotrudder::encode_json(limits).dump(2) << '\n';
    return 0;
}
