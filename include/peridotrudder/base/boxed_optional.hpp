#pragma once

/// @file
/// An optional value that takes the space of a pointer while it is absent.

#include <memory>
#include <optional>
#include <utility>

namespace peridotrudder {

/// Like `std::optional`, but with its value on the heap, for members of numerous objects that
/// rarely have one. A copy has a value of its own.
template <typename T>
class boxed_optional {
public:
    boxed_optional() = default;
    boxed_optional(std::nullopt_t /*none*/) {}
    boxed_optional(T value) : m_value{std::make_unique<T>(std::move(value))} {}
    boxed_optional(const boxed_optional& other)
        : m_value{other.m_value ? std::make_unique<T>(*other.m_value) : nullptr}
    {
    }
    boxed_optional(boxed_optional&&) noexcept = default;
    boxed_optional& operator=(const boxed_optional& other)
    {
        boxed_optional copy{other};
        m_value.swap(copy.m_value);
        return *this;
    }
    boxed_optional& operator=(boxed_optional&&) noexcept = default;
    ~boxed_optional() = default;

    explicit operator bool() const { return m_value != nullptr; }
    bool has_value() const { return m_value != nullptr; }
    T& operator*() { return *m_value; }
    const T& operator*() const { return *m_value; }
    T* operator->() { return m_value.get(); }
    const T* operator->() const { return m_value.get(); }
    void reset() { m_value.reset(); }

private:
    std::unique_ptr<T> m_value;
};

} // namespace peridotrudder
