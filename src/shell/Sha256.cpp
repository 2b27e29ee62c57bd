#include "shell/Sha256.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace crocusmount {

Sha256Digest sha256(const std::string& text)
{
    Sha256Digest digest {};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

std::string sha256Hex(const std::string& text)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const std::uint8_t byte : sha256(text)) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

bool equalInConstantTime(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace crocusmount
