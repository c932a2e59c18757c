#include "wire/wire_error.hpp"

namespace samphire
{

std::string_view wire_error_text(wire_error error)
{
    switch (error)
    {
    case wire_error::too_short:
        return "too-short";
    case wire_error::too_long:
        return "too-long";
    case wire_error::wrong_version:
        return "wrong-version";
    case wire_error::not_authentic:
        return "not-authentic";
    case wire_error::malformed:
        return "malformed";
    }
    return "invalid";
}

} // namespace samphire
