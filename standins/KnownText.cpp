#include "standins/KnownText.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace crocusmount {

std::string knownToken(const std::string& prompt, std::uint32_t index)
{
    return absl::StrCat(absl::Hex(XXH3_64bits_withSeed(prompt.data(), prompt.size(), index) & 0xffff), " ");
}

std::string knownText(const std::string& prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index)
        text += knownToken(prompt, index);
    return text;
}

} // namespace crocusmount
