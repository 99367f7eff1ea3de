#pragma once

/// @file
/// A process without free descriptors.

#include <cppunit/TestAssert.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace peridotrudder {

/// Uses up the descriptors of this process.
class descriptor_shortage {
public:
    descriptor_shortage()
    {
        constexpr rlim_t most = 256;
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &m_before));
        const rlimit lowered{std::min(most, m_before.rlim_max), m_before.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &lowered));
        for (int taken = ::dup(STDERR_FILENO); taken >= 0; taken = ::dup(STDERR_FILENO)) {
            m_taken.push_back(taken);
        }
    }

    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    descriptor_shortage(descriptor_shortage&&) = delete;
    descriptor_shortage& operator=(descriptor_shortage&&) = delete;

    ~descriptor_shortage()
    {
        for (const auto taken : m_taken) {
            ::close(taken);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }

    /// Makes one descriptor free again.
    void free_one()
    {
        ::close(m_taken.back());
        m_taken.pop_back();
    }

private:
    rlimit m_before{};
    std::vector<int> m_taken;
};

} // namespace peridotrudder
