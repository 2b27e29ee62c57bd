// Fuzz test of the reader of requests: random requests, well-formed and damaged, are split at random bytes. Whatever
// the split, the outcome is the same, what is kept stays within the limits, and a well-formed request is read as it was
// sent.

#include "programs/CommandLine.h"
#include "shell/RequestDecoder.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <iostream>
#include <pcg_random.hpp>

namespace {

using namespace crocusmount;
using Progress = RequestDecoder::Progress;

constexpr RequestLimits Limits { 2048, 8192 };
/// A request whose parts are shorter than this is within the limits.
constexpr std::size_t SafeBytes = 1500;
constexpr std::uint64_t MaxHeldBytes = 2 * 2048 + 8192 + 2 * 16384;

/// Draws requests.
class Generator {
public:
    explicit Generator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::uint32_t below(std::uint32_t bound) { return m_random() % bound; }
    bool chance(std::uint32_t percent) { return below(100) < percent; }
    /// @return a number of bytes: mostly few, at times beyond the limits
    std::size_t size(bool isSafe)
    {
        static constexpr std::uint32_t bounds[] = { 1, 4, 40, 400, SafeBytes, 4000, 20000 };
        return below(bounds[below(isSafe ? 5 : 7)]);
    }
    std::string token(std::size_t size)
    {
        std::string text;
        for (std::size_t each = 0; each < size; ++each)
            text += char('a' + below(26));
        return text;
    }
    std::string bytes(std::size_t size)
    {
        std::string text;
        for (std::size_t each = 0; each < size; ++each)
            text += char(below(256));
        return text;
    }
    std::string extension(bool isSafe)
    {
        switch (below(4)) {
        case 0:
            return absl::StrCat(";", token(1 + size(isSafe)), "=", token(1));
        case 1:
            return absl::StrCat(";a=\"", token(size(isSafe)), "\"");
        default:
            return "";
        }
    }
    std::string fields(bool isSafe, std::size_t room)
    {
        static constexpr const char* names[]
            = { "X-Line", "Host", "Authorization", "X-Attempt-Id", "Connection", "Via" };
        std::string text;
        for (std::uint32_t count = below(5); count > 0; --count) {
            const std::string field = absl::StrCat(names[below(6)], ": ", token(1 + size(isSafe) / 8), "\r\n");
            if (!isSafe || text.size() + field.size() <= room)
                text += field;
        }
        return text;
    }

private:
    pcg32 m_random;
};

struct Sent {
    std::string bytes;
    std::string body;
    std::string target;
    bool isSound = true; ///< well-formed and within the limits
};

Sent drawRequest(Generator& draw)
{
    Sent sent;
    sent.isSound = draw.chance(60);
    sent.target = "/" + draw.token(1 + draw.size(true) / 8);
    std::string head = absl::StrCat("POST ", sent.target, " HTTP/1.1\r\n", draw.fields(sent.isSound, SafeBytes / 2));
    if (draw.chance(25)) {
        sent.body = draw.bytes(draw.size(sent.isSound));
        sent.bytes = absl::StrCat(head, "Content-Length: ", sent.body.size(), "\r\n\r\n", sent.body);
    } else {
        sent.bytes = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (std::uint32_t count = draw.below(draw.chance(10) ? 300 : 6); count > 0; --count) {
            const std::string chunk = draw.bytes(1 + draw.size(sent.isSound));
            if (sent.isSound && sent.body.size() + chunk.size() > Limits.bodyBytes)
                break;
            sent.body += chunk;
            absl::StrAppendFormat(&sent.bytes, "%x%s\r\n", chunk.size(), draw.extension(sent.isSound));
            sent.bytes += chunk + "\r\n";
        }
        const std::string extension = draw.chance(20) ? ";last=" + draw.token(1 + draw.size(true) / 8) : "";
        absl::StrAppend(&sent.bytes, "0", extension, "\r\n", draw.fields(sent.isSound, SafeBytes / 2), "\r\n");
    }
    if (sent.isSound)
        return sent;
    for (std::uint32_t count = draw.below(4); count > 0 && !sent.bytes.empty(); --count) {
        const std::size_t at = draw.below(std::uint32_t(sent.bytes.size()));
        switch (draw.below(4)) {
        case 0:
            sent.bytes[at] = char(draw.below(256));
            break;
        case 1:
            sent.bytes.erase(at, 1 + draw.below(8));
            break;
        case 2:
            sent.bytes.insert(at, draw.bytes(1 + draw.below(8)));
            break;
        default:
            sent.bytes.insert(at, std::string(3000 + draw.below(6000), "a0\r \n;:"[draw.below(7)]));
        }
    }
    return sent;
}

struct Outcome {
    Progress progress = Progress::NeedsMore;
    std::uint64_t most = 0; ///< bytes held
    std::size_t unused = 0; ///< bytes that were not fed, or not processed
    std::string target;
    std::string body;
    std::size_t fieldCount = 0;
};

/// @param largestPiece  the pieces have 1 to this many bytes
Outcome decode(std::string_view bytes, std::uint32_t largestPiece, Generator& draw)
{
    RequestDecoder decoder;
    decoder.begin(Limits);
    Outcome outcome;
    while (outcome.progress == Progress::NeedsMore || outcome.progress == Progress::HeadDone) {
        if (outcome.progress == Progress::NeedsMore) {
            if (bytes.empty())
                break;
            const net::mutable_buffer space = decoder.prepare();
            const std::size_t count
                = std::min<std::size_t>({ 1 + draw.below(largestPiece), bytes.size(), space.size() });
            std::copy_n(bytes.data(), count, static_cast<char*>(space.data()));
            decoder.commit(count);
            bytes.remove_prefix(count);
        }
        outcome.progress = decoder.advance();
        outcome.most = std::max(outcome.most, decoder.heldBytes());
    }
    if (outcome.progress == Progress::Done) {
        const RequestDecoder::Request request = decoder.release();
        outcome.target = std::string(request.target());
        outcome.body = request.body();
        for (const auto& field : request)
            outcome.fieldCount += !field.value().empty();
    }
    outcome.unused = bytes.size();
    return outcome;
}

/// @return what is wrong, or an empty text
std::string check(const Sent& sent, Generator& draw)
{
    const Outcome whole = decode(sent.bytes, 16384, draw);
    for (const std::uint32_t largestPiece : { 1U, 2U, 5U, 100U, 5000U }) {
        const Outcome split = decode(sent.bytes, largestPiece, draw);
        if (split.most > MaxHeldBytes)
            return absl::StrCat("holds ", split.most, " bytes");
        if (sent.isSound && split.progress != Progress::Done)
            return "is not read";
        if (sent.isSound && (split.body != sent.body || split.target != sent.target || split.unused))
            return "is read as another request";
        if (split.progress != Progress::Done || whole.progress != Progress::Done)
            continue;
        if (split.body != whole.body || split.target != whole.target || split.fieldCount != whole.fieldCount)
            return "is read differently in other pieces";
    }
    return "";
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv, "Usage: crocusmount-request-fuzz [options]\n",
        { { "seed", "N", "seed of the first case (1)" }, { "cases", "N", "number of cases (20000)" } });
    std::uint64_t seed = 1;
    std::uint64_t cases = 20000;
    if (!absl::SimpleAtoi(arguments.get("seed", "1"), &seed)
        || !absl::SimpleAtoi(arguments.get("cases", "20000"), &cases)) {
        std::cerr << "crocusmount-request-fuzz: expected numbers; see --help\n";
        return ExitUsage;
    }
    std::uint64_t sound = 0;
    for (std::uint64_t each = seed; each < seed + cases; ++each) {
        Generator draw(each);
        const Sent sent = drawRequest(draw);
        sound += sent.isSound;
        if (const std::string fault = check(sent, draw); !fault.empty()) {
            std::cout << "seed " << each << ": a request of " << sent.bytes.size() << " bytes " << fault << "\n";
            return ExitFailed;
        }
    }
    std::cout << cases << " requests, " << sound << " of them sound\n1 passed, 0 failed\n";
    return ExitOk;
}
