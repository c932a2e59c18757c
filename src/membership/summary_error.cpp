#include "membership/summary_error.hpp"

namespace samphire
{

char const* summary_error_text(summary_error error)
{
    switch (error)
    {
    case summary_error::not_json:
        return "not JSON";
    case summary_error::invalid_field:
        return "a field is missing or has a wrong type or range";
    case summary_error::wrong_domain:
        return "made for another domain";
    }
    return "unknown";
}

} // namespace samphire
