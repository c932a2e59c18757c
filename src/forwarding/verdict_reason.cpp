#include "forwarding/verdict_reason.hpp"

namespace samphire
{

std::string_view verdict_reason_text(verdict_reason reason)
{
    switch (reason)
    {
    case verdict_reason::none:
        return "none";
    case verdict_reason::no_policy:
        return "no_policy";
    case verdict_reason::no_route:
        return "no_route";
    case verdict_reason::no_upstream:
        return "no_upstream";
    case verdict_reason::overloaded:
        return "overloaded";
    case verdict_reason::expired:
        return "expired";
    case verdict_reason::upstream_leaving:
        return "upstream_leaving";
    case verdict_reason::daemon_stopping:
        return "daemon_stopping";
    case verdict_reason::wrong_service:
        return "wrong_service";
    case verdict_reason::rejected:
        return "rejected";
    case verdict_reason::connection_lost:
        return "connection_lost";
    case verdict_reason::garbled:
        return "garbled";
    case verdict_reason::upstream_timeout:
        return "upstream_timeout";
    case verdict_reason::guard_lost:
        return "guard_lost";
    case verdict_reason::client_left:
        return "client_left";
    case verdict_reason::crash_suspect:
        return "crash_suspect";
    case verdict_reason::memory:
        return "memory";
    case verdict_reason::retry_limit:
        return "retry_limit";
    }
    return "unknown";
}

} // namespace samphire
