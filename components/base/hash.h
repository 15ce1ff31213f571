#ifndef COMPONENTS_BASE_HASH_H_
#define COMPONENTS_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupstair {

/// A fast non-cryptographic hash (xxHash), the same on every host.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

/// SHA-256 of `text` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

/// HMAC-SHA256 of `text` under `key`, raw bytes.
std::string HmacSha256(std::string_view key, std::string_view text);

/// Compares two byte strings in a time that does not depend on their content.
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// A random identifier of 128 bits in hexadecimal, from the system's secure
/// source.
std::string RandomId();

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_HASH_H_
