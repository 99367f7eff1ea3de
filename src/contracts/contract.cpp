#include "peridotrudder/contracts/contract.hpp"

#include <algorithm>
#include <string_view>

namespace peridotrudder {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t sha256_hex_length = 64;

bool is_name(std::string_view text)
{
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') ||
               letter == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_sha256_hex(std::string_view text)
{
    const auto allowed = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    return text.size() == sha256_hex_length && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

std::vector<contract_fault> check_contract(const contract& value)
{
    std::vector<contract_fault> faults;
    const auto require = [&faults](bool holds, contract_fault fault) {
        if (!holds) {
            faults.push_back(fault);
        }
    };
    require(is_name(value.m_customer), contract_fault::customer_name);
    require(is_sha256_hex(value.m_api_key_sha256), contract_fault::api_key_hash);
    require(!value.m_pools.empty(), contract_fault::no_pool);
    require(value.m_capacity_slots >= 1 && value.m_capacity_slots <= max_capacity_slots,
            contract_fault::capacity);
    require(value.m_vms_away >= 1 && value.m_vms_away <= max_vms_away, contract_fault::vms_away);
    require(value.m_time_to_wait > milliseconds{0} && value.m_time_to_wait <= max_time_to_wait,
            contract_fault::time_to_wait);
    require(value.m_availability_ppm < parts_per_million &&
                value.m_availability_window > milliseconds{0},
            contract_fault::availability);
    require(value.m_retry_window >= min_retry_window && value.m_retry_window <= max_retry_window,
            contract_fault::retry_window);
    return faults;
}

} // namespace peridotrudder
