#include "peridotrudder/ownership/ownership_proof.hpp"

#include <algorithm>

namespace peridotrudder {

ownership_proof ownership_proof::create(proof_limits limits)
{
    ownership_proof made;
    made.m_limits = limits;
    return made;
}

void ownership_proof::renew(time_point sent_at)
{
    m_proven_at = std::max(m_proven_at, sent_at);
}

bool ownership_proof::grants(owner_act act, time_point now) const
{
    return !m_revoked && now - m_proven_at <= limit_of(act);
}

milliseconds ownership_proof::limit_of(owner_act act) const
{
    switch (act) {
    case owner_act::answer:
        return m_limits.m_answer;
    case owner_act::start:
    case owner_act::vm_order:
    case owner_act::wave_report:
        return m_limits.m_order;
    case owner_act::stop:
    case owner_act::renewal:
        return m_limits.m_lease;
    }
    return milliseconds{0};
}

} // namespace peridotrudder
