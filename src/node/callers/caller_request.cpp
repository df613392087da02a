#include "node/callers/caller_request.h"
#include "node/header_names.h"
#include "siskinstage/config.h"

#include <Poco/String.h>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace siskinstage {

namespace {

constexpr std::size_t MaxAccountBytes = 200;

/// Returns the value of a header that may occur once, nothing if it is absent.
HttpResult<std::optional<std::string>>
singleValue(const Poco::Net::HTTPRequest &Head, const std::string &Name) {
  if (Name.empty())
    return std::optional<std::string>();
  const std::vector<std::string> Values = headerValues(Head, Name);
  if (Values.empty())
    return std::optional<std::string>();
  if (Values.size() > 1)
    return refuse(400, "header " + Name + " stands there more than once");
  return std::optional<std::string>(Values.front());
}

/// Like singleValue, for a number from \p Min to \p Max.
HttpResult<std::optional<std::int64_t>>
singleNumber(const Poco::Net::HTTPRequest &Head, const std::string &Name,
             std::int64_t Min, std::int64_t Max) {
  const auto Text = singleValue(Head, Name);
  if (!Text)
    return tl::unexpected<HttpRefusal>(Text.error());
  if (!*Text)
    return std::optional<std::int64_t>();
  std::int64_t Number = 0;
  const char *First = (*Text)->data();
  const char *Last = First + (*Text)->size();
  const auto [Next, Fault] = std::from_chars(First, Last, Number);
  if (Fault != std::errc{} || Next != Last || Number < Min || Number > Max)
    return refuse(400, "header " + Name + " is \"" + **Text +
                           "\", allowed is a number from " +
                           std::to_string(Min) + " to " + std::to_string(Max));
  return std::optional<std::int64_t>(Number);
}

std::string hostWithoutPort(std::string Host) {
  Host = Poco::toLower(Host);
  return Host.substr(0, Host.rfind(':'));
}

/// Rewrites a request target from absolute form to origin form; its authority
/// replaces the Host header.
void toOriginForm(CallerRequest &Request) {
  const std::string &Target = Request.Head.getURI();
  const std::string Scheme = "http://";
  if (Poco::icompare(Target, 0, Scheme.size(), Scheme) != 0)
    return;
  const std::size_t Slash = Target.find('/', Scheme.size());
  const std::size_t End = std::min(Slash, Target.size());
  const std::string Host = Target.substr(Scheme.size(), End - Scheme.size());
  const std::string OriginForm =
      Slash == std::string::npos ? "/" : Target.substr(Slash);
  Request.Head.set("Host", Host);
  Request.Head.setURI(OriginForm);
}

HttpResult<void> readTarget(CallerRequest &Request, const Dialect &) {
  const std::vector<std::string> Hosts = headerValues(Request.Head, "Host");
  if (Hosts.size() > 1 || (Hosts.empty() && !Request.Http10))
    return refuse(400, "header Host must stand there once");
  if (!Hosts.empty() &&
      Hosts.front().find_first_of(" \t/@,") != std::string::npos)
    return refuse(400, "header Host is no host name");
  if (Request.Head.getMethod() == "CONNECT")
    return refuse(501, "method CONNECT is not served");
  toOriginForm(Request);
  Request.Host = hostWithoutPort(Request.Head.get("Host", ""));
  if (Request.Head.getMethod() == "OPTIONS" && Request.Head.getURI() == "*") {
    Request.Path = "/";
    return {};
  }
  const auto Path = checkedPath(Request.Head.getURI());
  if (!Path)
    return tl::unexpected<HttpRefusal>(Path.error());
  Request.Path = *Path;
  return {};
}

HttpResult<void> readExpect(CallerRequest &Request, const Dialect &) {
  const auto Expect = singleValue(Request.Head, "Expect");
  if (!Expect)
    return tl::unexpected<HttpRefusal>(Expect.error());
  if (!*Expect)
    return {};
  if (Poco::icompare(**Expect, "100-continue") != 0)
    return refuse(417, "header Expect is not \"100-continue\"");
  Request.ExpectContinue = !Request.Http10;
  Request.Head.erase("Expect");
  return {};
}

HttpResult<void> readDialectHeaders(CallerRequest &Request,
                                    const Dialect &HeaderDialect) {
  const auto TimeLeft = singleNumber(Request.Head, HeaderDialect.Deadline, 1,
                                     std::numeric_limits<std::int64_t>::max());
  if (!TimeLeft)
    return tl::unexpected<HttpRefusal>(TimeLeft.error());
  if (*TimeLeft)
    Request.TimeLeft =
        std::min<Millis>(Millis(**TimeLeft), config::MaxDeadline);
  const auto Hops =
      singleNumber(Request.Head, header::Hops, 0, config::MaxForwardHops);
  if (!Hops)
    return tl::unexpected<HttpRefusal>(Hops.error());
  Request.Hops = static_cast<int>(Hops->value_or(0));

  const auto RepeatableValue =
      singleValue(Request.Head, HeaderDialect.Repeatable);
  const auto Key = singleValue(Request.Head, HeaderDialect.IdempotencyKey);
  const auto Account = singleValue(Request.Head, HeaderDialect.Account);
  if (!RepeatableValue)
    return tl::unexpected<HttpRefusal>(RepeatableValue.error());
  if (!Key)
    return tl::unexpected<HttpRefusal>(Key.error());
  if (!Account)
    return tl::unexpected<HttpRefusal>(Account.error());
  if (*Account && ((*Account)->empty() || (*Account)->size() > MaxAccountBytes))
    return refuse(400, "header " + HeaderDialect.Account +
                           " is empty or longer than 200 bytes");
  Request.RepeatableValue = *RepeatableValue;
  Request.Key = *Key;
  Request.Account = AccountName(Account->value_or(AnonymousAccount));
  return {};
}

} // namespace

HttpResult<CallerRequest> readCallerRequest(const Poco::Net::HTTPRequest &Head,
                                            RequestId Id, Instant Arrived,
                                            const Dialect &HeaderDialect) {
  CallerRequest Request;
  Request.Http10 = Head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
  Request.Head = Head;
  Request.Id = std::move(Id);
  if (HeaderDialect.KeepsCallerRequestId && Head.has(HeaderDialect.RequestId))
    Request.Id = RequestId(Head.get(HeaderDialect.RequestId));
  Request.Arrived = Arrived;
  const auto Framing = requestFraming(framingFields(Request.Head));
  if (!Framing)
    return tl::unexpected<HttpRefusal>(Framing.error());
  Request.Framing = *Framing;
  for (const auto &Check : {readTarget, readExpect, readDialectHeaders}) {
    const auto Checked = Check(Request, HeaderDialect);
    if (!Checked)
      return tl::unexpected<HttpRefusal>(Checked.error());
  }
  return Request;
}

} // namespace siskinstage
