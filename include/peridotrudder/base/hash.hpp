#pragma once

/// @file
/// Hashes for placement (not cryptographic), digests and random numbers for credentials.

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Returns the 64-bit xxHash of `text`, which is the same on every VM.
std::uint64_t placement_hash(std::string_view text, std::uint64_t seed = 0);

/// Returns the lower-case hexadecimal SHA-256 of `text` (64 characters).
std::string sha256_hex(std::string_view text);

/// Returns whether two secrets are equal, in constant time for given lengths.
bool equal_secrets(std::string_view left, std::string_view right);

/// Returns `bytes` random bytes as lower-case hexadecimal. Throws `std::runtime_error` if the
/// random number generator fails.
std::string random_hex(std::size_t bytes);

} // namespace peridotrudder
