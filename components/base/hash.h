#ifndef COMPONENTS_BASE_HASH_H_
#define COMPONENTS_BASE_HASH_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace kingcupstair {

/// Returns a fast non-cryptographic hash (xxHash), equal on every host.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

/// Returns the hash of the texts one after the other.
uint64_t StableHash(std::initializer_list<std::string_view> texts);

/// Returns the SHA-256 of `text` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

/// Returns the HMAC-SHA256 of `text` under `key` as raw bytes.
std::string HmacSha256(std::string_view key, std::string_view text);

/// Compares two byte strings in a time independent of their content.
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// Returns a random identifier of 128 bits in hexadecimal, from the system's
/// secure random source. Throws std::runtime_error if that source fails.
std::string RandomId();

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_HASH_H_
