#include "core/fleet/quota_codec.h"

#include <cmath>
#include <optional>
#include <string>

namespace siskinstage {

namespace {

constexpr Json::ArrayIndex MaxItems = 64;
constexpr Json::ArrayIndex AskFields = 5;
constexpr Json::ArrayIndex LoanFields = 3;
constexpr std::uint64_t MaxLifeMs = 600'000;
constexpr std::uint64_t MaxTimeMs = 1ULL << 50U;
constexpr std::uint64_t MaxNodes = 1'000'000;
/// Rates, bursts and tokens are sent in thousandths.
constexpr double Thousand = 1000;
constexpr std::uint64_t MaxThousandths = 1'000'000'000'000'000;

tl::unexpected<Error> malformed(const std::string &Field) {
  return fail(Step::Forward, "gossip", "field " + Field + " is malformed");
}

Json::Value toJson(std::uint64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

Json::Value inThousandths(double Value) {
  return toJson(static_cast<std::uint64_t>(std::llround(Value * Thousand)));
}

/// Whether each of \p Item is a number from 0 to the bound of its place.
bool isItem(const Json::Value &Item, std::initializer_list<std::uint64_t> Max) {
  if (!Item.isArray() || Item.size() != Max.size())
    return false;
  Json::ArrayIndex I = 0;
  for (const std::uint64_t Bound : Max) {
    if (!Item[I].isUInt64() || Item[I].asUInt64() > Bound)
      return false;
    ++I;
  }
  return true;
}

bool isList(const Json::Value &Value) {
  return Value.isNull() || (Value.isArray() && Value.size() <= MaxItems);
}

bool isNumber(const Json::Value &Value, std::uint64_t Max) {
  return Value.isUInt64() && Value.asUInt64() <= Max;
}

QuotaParts partsOf(const Json::Value &Value) {
  return static_cast<QuotaParts>(Value.asUInt64());
}

double fromThousandths(const Json::Value &Value) {
  return static_cast<double>(Value.asUInt64()) / Thousand;
}

} // namespace

void writeQuota(const QuotaRequest &Body, Json::Value &Output) {
  Output["k"] = QuotaRequestKind;
  Output["s"] = toJson(Body.Sequence);
  Output["c"] = Body.Claims;
  if (Body.Withdraws)
    Output["w"] = true;
  Output["j"] = toJson(Body.ClaimsForMs);
  for (const QuotaAsk &Ask : Body.Asks) {
    Json::Value Item(Json::arrayValue);
    Item.append(toJson(Ask.Account));
    Item.append(toJson(static_cast<std::uint64_t>(Ask.Ask)));
    Item.append(toJson(static_cast<std::uint64_t>(Ask.Hold)));
    Item.append(inThousandths(Ask.PerSecond));
    Item.append(inThousandths(Ask.Burst));
    Output["q"].append(Item);
  }
}

void writeQuota(const QuotaResponse &Body, Json::Value &Output) {
  Output["k"] = QuotaResponseKind;
  Output["s"] = toJson(Body.Echo);
  Output["n"] = Body.Nodes;
  Output["b"] = Body.KnownBefore;
  Output["l"] = toJson(Body.LifeMs);
  for (const QuotaLoan &Loan : Body.Loans) {
    Json::Value Item(Json::arrayValue);
    Item.append(toJson(Loan.Account));
    Item.append(toJson(static_cast<std::uint64_t>(Loan.Amount)));
    Item.append(toJson(static_cast<std::uint64_t>(Loan.MilliTokens)));
    Output["q"].append(Item);
  }
}

Result<QuotaRequest> readQuotaRequest(const Json::Value &Value) {
  QuotaRequest Body;
  if (!Value["s"].isUInt64())
    return malformed("s");
  if (!Value["c"].isBool())
    return malformed("c");
  if (Value.isMember("w") && !Value["w"].isBool())
    return malformed("w");
  if (!isNumber(Value["j"], MaxTimeMs))
    return malformed("j");
  if (!isList(Value["q"]))
    return malformed("q");
  Body.Sequence = Value["s"].asUInt64();
  Body.Claims = Value["c"].asBool();
  Body.Withdraws = Value.isMember("w") && Value["w"].asBool();
  Body.ClaimsForMs = Value["j"].asUInt64();
  for (const Json::Value &Item : Value["q"]) {
    constexpr auto Whole = static_cast<std::uint64_t>(WholeQuota);
    if (!isItem(Item,
                {UINT64_MAX, Whole, Whole, MaxThousandths, MaxThousandths}))
      return malformed("q");
    Body.Asks.push_back({Item[0].asUInt64(), partsOf(Item[1]), partsOf(Item[2]),
                         fromThousandths(Item[3]),
                         fromThousandths(Item[AskFields - 1])});
  }
  return Body;
}

Result<QuotaResponse> readQuotaResponse(const Json::Value &Value) {
  QuotaResponse Body;
  if (!Value["s"].isUInt64())
    return malformed("s");
  if (!isNumber(Value["n"], MaxNodes))
    return malformed("n");
  if (!Value["b"].isBool())
    return malformed("b");
  if (!isNumber(Value["l"], MaxLifeMs))
    return malformed("l");
  if (!isList(Value["q"]))
    return malformed("q");
  Body.Echo = Value["s"].asUInt64();
  Body.Nodes = Value["n"].asUInt();
  Body.KnownBefore = Value["b"].asBool();
  Body.LifeMs = Value["l"].asUInt64();
  for (const Json::Value &Item : Value["q"]) {
    if (!isItem(Item, {UINT64_MAX, static_cast<std::uint64_t>(WholeQuota),
                       MaxThousandths}))
      return malformed("q");
    Body.Loans.push_back(
        {Item[0].asUInt64(), partsOf(Item[1]), partsOf(Item[LoanFields - 1])});
  }
  return Body;
}

} // namespace siskinstage
