/// @file
/// Folds two concurrent changes of one contract and prints which one takes effect.

#include "peridotrudder/journal/fleet_state.hpp"

#include <iostream>

namespace {

using namespace peridotrudder;

record make_record(std::string id, std::string author, std::uint64_t based_on, record_body body)
{
    record result;
    result.m_id = std::move(id);
    result.m_author = std::move(author);
    result.m_based_on = based_on;
    result.m_body = std::move(body);
    return result;
}

contract make_contract(std::uint32_t slots)
{
    contract result;
    result.m_customer = "schools";
    result.m_api_key_sha256 = std::string(64, 'a');
    result.m_pools = {"reports"};
    result.m_capacity_slots = slots;
    result.m_vms_away = 1;
    result.m_time_to_wait = milliseconds{1'700};
    result.m_availability_ppm = 999'000;
    result.m_availability_window = milliseconds{86'400'000};
    result.m_retry_window = milliseconds{600'000};
    return result;
}

} // namespace

int main()
{
    fleet_state state;
    state.fold(0, make_record("1", "planner", 0, term_claimed{"planner", 0}));

    vm worker;
    worker.m_id = "reports-1";
    worker.m_pool = "reports";
    worker.m_slots = 8;
    auto added = make_record("2", "planner", 1, vms_added{{worker}});
    added.m_term = state.term().m_number;
    state.fold(1, added);

    // Both operators base their change on offset 2; the log orders the change of `one` first.
    const auto first =
        state.fold(2, make_record("3", "one", 2, contract_applied{make_contract(2)}));
    const auto second =
        state.fold(3, make_record("4", "two", 2, contract_applied{make_contract(4)}));

    std::cout << "first: " << to_string(first.m_verdict) << '\n'
              << "second: " << to_string(second.m_verdict) << ", the change before offset "
              << second.m_winning_version << " takes effect\n";
    return 0;
}
