#include "peridotrudder/base/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <fmt/format.h>
#include <gsl/span>
#include <stdexcept>
#include <vector>

namespace peridotrudder {

namespace {

std::string to_hex(gsl::span<const unsigned char> bytes)
{
    return fmt::format("{:02x}", fmt::join(bytes.begin(), bytes.end(), ""));
}

} // namespace

std::uint64_t placement_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    // OpenSSL takes bytes; the characters are only read.
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return to_hex(digest);
}

bool equal_secrets(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(buffer.size())) != 1) {
        throw std::runtime_error{"no randomness available"};
    }
    return to_hex(buffer);
}

} // namespace peridotrudder
