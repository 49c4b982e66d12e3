#include "carobhall/document.h"

#include <sodium.h>

namespace Carobhall
{

std::string digestOf(std::string_view bytes)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), nullptr, 0);
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back(); // The terminating null character that sodium_bin2hex() writes.
    return hex;
}

} // namespace Carobhall
