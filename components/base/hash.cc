#include "components/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <memory>
#include <stdexcept>

#include "absl/strings/escaping.h"

namespace kingcupstair {
namespace {

constexpr size_t kRandomIdBytes = 16;

std::string ToHex(const unsigned char* data, size_t size) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(data), size));
}

}  // namespace

uint64_t StableHash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

uint64_t StableHash(std::initializer_list<std::string_view> texts) {
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(state.get(), 0);
  for (const std::string_view text : texts) {
    XXH64_update(state.get(), text.data(), text.size());
  }
  return XXH64_digest(state.get());
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  unsigned int size = digest.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes{};
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    throw std::runtime_error(
        "RAND_bytes failed: no bytes from the system's random source");
  }
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace kingcupstair
