#pragma once

namespace crocusmount::relay {

/// What shows that the process of a server has ended.
enum class EndSign {
    /// No process listens at its address. A server that leaves may stop listening before its calls have ended, and
    /// before its leave is known. An open connection to it shows that it lives, as the connections of a process end
    /// with it.
    RefusedConnection,
    NoSignOfLife, ///< its entry ended, and it did not answer the last check
    LaterStart, ///< a later start replaced it
};

} // namespace crocusmount::relay
