#include "console/page_layout.hpp"

#include "console/html_text.hpp"

#include <fmt/format.h>

namespace samphire
{

namespace
{

constexpr std::string_view style_sheet = R"(
body { font: 16px/1.5 sans-serif; max-width: 72rem; margin: 0 auto;
  padding: 1rem; color: #1b1b1b; background: #fff; }
nav a { margin-right: 1rem; }
fieldset { margin: 0 0 1rem; border: 1px solid #767676; padding: .5rem 1rem; }
legend { font-weight: bold; padding: 0 .25rem; }
.fields { display: flex; flex-wrap: wrap; gap: .5rem 1rem; }
.fields label { display: block; }
input, select, textarea, button { font: inherit; padding: .2rem .4rem; }
input[type=number] { width: 7rem; }
:focus-visible { outline: 3px solid #0b57d0; outline-offset: 2px; }
table { border-collapse: collapse; margin: 1rem 0; }
caption { text-align: left; font-weight: bold; }
th, td { border: 1px solid #767676; padding: .25rem .5rem; text-align: left;
  vertical-align: top; overflow-wrap: anywhere; }
pre { background: #f2f2f2; padding: .5rem; overflow: auto; max-height: 30rem; }
.notice { border: 3px solid #a80000; padding: .5rem 1rem; }
)";

std::string display_text(std::string const& value)
{
    return value.empty() ? "(absent)" : escape_html(value);
}

} // namespace

http_response html_page(
    std::uint16_t status, std::string_view title, std::string_view content)
{
    std::string const escaped_title = escape_html(title);
    std::string page = fmt::format(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<meta name=\"viewport\" content=\"width=device-width\">"
        "<title>{} - samphire console</title><style>{}</style></head>\n"
        "<body><nav aria-label=\"Pages\"><a href=\"/\">Policy</a>"
        "<a href=\"/status\">Where it is in force</a></nav>\n"
        "<main><h1>{}</h1>\n{}</main></body></html>\n",
        escaped_title,
        style_sheet,
        escaped_title,
        content);
    return {
        .status_ = status,
        .headers_ =
            {{"Content-Type", "text/html; charset=utf-8"},
             {"Cache-Control", "no-store"},
             {"X-Content-Type-Options", "nosniff"},
             {"Referrer-Policy", "no-referrer"},
             // Forbids scripts, embedding of the page in frames, and forms
             // that submit to another server.
             {"Content-Security-Policy",
              "default-src 'none'; style-src 'unsafe-inline'; "
              "form-action 'self'; frame-ancestors 'none'; base-uri 'none'"}},
        .body_ = payload(std::move(page))};
}

std::string changes_table(
    std::string_view caption, std::vector<policy_change> const& changes)
{
    std::string text = fmt::format(
        "<table><caption>{}</caption><thead><tr><th scope=\"col\">Field</th>"
        "<th scope=\"col\">Before</th><th scope=\"col\">After</th></tr></thead>"
        "<tbody>\n",
        escape_html(caption));
    for (policy_change const& change : changes)
        text += fmt::format(
            "<tr><th scope=\"row\">{}</th><td>{}</td><td>{}</td></tr>\n",
            escape_html(change.field_),
            display_text(change.old_value_),
            display_text(change.new_value_));
    return text + "</tbody></table>\n";
}

std::string document_section(std::string_view heading, std::string_view text)
{
    // The attribute tabindex lets the operator scroll a long document with the
    // keyboard.
    return fmt::format(
        "<section><h2>{0}</h2><pre tabindex=\"0\" aria-label=\"{0}\">{1}</pre>"
        "</section>\n",
        escape_html(heading),
        text.empty() ? "(none)" : escape_html(text));
}

std::string hidden_field(std::string_view name, std::string_view value)
{
    return fmt::format(
        "<input type=\"hidden\" name=\"{}\" value=\"{}\">\n",
        escape_html(name),
        escape_html(value));
}

} // namespace samphire
