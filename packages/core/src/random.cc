// Random numbers, random ids and digests, implemented with libsodium.
#include "bambooquay/core/random.h"

#include <sodium.h>

#include <array>
#include <cstdlib>

namespace bambooquay {
namespace {

constexpr std::size_t kIdBytes = 16;

void RequireSodium() {
  if (sodium_init() < 0) {
    std::abort();
  }
}

template <std::size_t kSize>
std::string ToHex(const std::array<unsigned char, kSize>& bytes) {
  std::array<char, kSize * 2 + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return std::string(text.data());
}

}  // namespace

SystemRandom::SystemRandom() { RequireSodium(); }

std::uint32_t SystemRandom::UniformBelow(std::uint32_t bound) {
  return randombytes_uniform(bound);
}

std::string MakeRandomId() {
  RequireSodium();
  std::array<unsigned char, kIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes);
}

std::uint64_t MakeRandomNumber() {
  RequireSodium();
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof(number));
  return number;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size());
  return ToHex(digest);
}

}  // namespace bambooquay
