// Implements operator keys with OpenSSL.

#include <pollenhall/io/operator_key.hpp>

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace pollenhall
{
namespace
{

constexpr std::size_t key_bytes = 32;

std::string to_hexadecimal(unsigned char const* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(count + count);
    for (std::size_t i = 0; i < count; ++i)
    {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xFU];
    }
    return text;
}

} // namespace

absl::StatusOr<std::string> make_operator_key()
{
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return absl::UnavailableError(
            "the system's random number generator failed");
    return to_hexadecimal(bytes.data(), bytes.size());
}

std::string hash_operator_key(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return to_hexadecimal(digest.data(), size);
}

bool is_same_hash(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace pollenhall
