#include "store/store_text.hpp"

namespace samphire
{

std::string_view store_action_text(store_action action)
{
    switch (action)
    {
    case store_action::read_policy:
        return "read_policy";
    case store_action::watch_policy:
        return "watch_policy";
    case store_action::check_access:
        return "check_access";
    case store_action::list_upstreams:
        return "list_upstreams";
    case store_action::read_upstream:
        return "read_upstream";
    case store_action::create_upstream:
        return "create_upstream";
    case store_action::replace_upstream:
        return "replace_upstream";
    case store_action::remove_upstream:
        return "remove_upstream";
    }
    return "";
}

std::string_view store_status_text(store_status status)
{
    switch (status)
    {
    case store_status::done:
        return "done";
    case store_status::missing:
        return "missing";
    case store_status::conflict:
        return "conflict";
    case store_status::history_gone:
        return "history_gone";
    case store_status::refused:
        return "refused";
    case store_status::unknown:
        return "unknown";
    }
    return "";
}

} // namespace samphire
