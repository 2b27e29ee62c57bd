#include "shell/AnswerHead.h"

namespace crocusmount {

namespace {

    constexpr unsigned FirstInterimStatus = 100;
    constexpr unsigned SwitchingProtocols = 101;
    constexpr unsigned FirstFinalStatus = 200;
    constexpr unsigned LastFinalStatus = 599;

} // namespace

StatusKind kindOfStatus(unsigned status)
{
    if (status < FirstInterimStatus || status == SwitchingProtocols || status > LastFinalStatus)
        return StatusKind::Invalid;
    return status < FirstFinalStatus ? StatusKind::Interim : StatusKind::Final;
}

} // namespace crocusmount
