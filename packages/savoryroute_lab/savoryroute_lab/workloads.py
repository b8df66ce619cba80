"""Workloads of the example businesses: templates of actions and their rates."""

from __future__ import annotations

import attrs

from .action_templates import ActionTemplate, LoadClass, RetryMode
from .calls import Plan, parse_steps

__all__ = [
    "ACTION_TIMEOUT_S",
    "CREW_BOOKING",
    "CREW_CANCELLATION",
    "DEEP_SOUTH_LOAD",
    "NAIROBI_LOAD",
    "POUR_BOOKING",
    "POUR_CANCELLATION",
    "VIEW_TIMEOUT_S",
]

VIEW_TIMEOUT_S = 1.5
ACTION_TIMEOUT_S = 3.0

NO_PLAN = Plan()
CREWS_DEPTH_3 = Plan(parse_steps("printshop:/frames/1,crews:/slots"))
CREWS_DEPTH_4 = Plan(parse_steps("catalogue:/items/1,printshop:/frames/1,crews:/slots"))
CREWS_DEPTH_5 = attrs.evolve(
    CREWS_DEPTH_4, chain=CREWS_DEPTH_4.chain + parse_steps("catalogue:/items/2")
)
FRAMES_FAN_OUT = Plan(fan=parse_steps("catalogue:/items/3,printshop:/frames/2"))
ORDER_DEPTH_3 = Plan(parse_steps("catalogue:/items/4,crews:/slots"))
DISPATCH_DEPTH_4 = Plan(parse_steps("booking:/free,tickets:/tickets/1,dispatch:/plant"))
DISPATCH_DEPTH_2 = Plan(parse_steps("dispatch:/plant"))
POUR_DEPTH_3 = Plan(parse_steps("tickets:/tickets/2,dispatch:/plant"))


def _view(
    class_name: str, service: str, path: str, plan: Plan = NO_PLAN
) -> ActionTemplate:
    return ActionTemplate(
        class_name,
        service,
        path,
        plan=plan,
        timeout_s=VIEW_TIMEOUT_S,
        retry_mode=RetryMode.IMMEDIATE,
    )


def _action(
    class_name: str, service: str, method: str, path: str, plan: Plan = NO_PLAN
) -> ActionTemplate:
    return ActionTemplate(
        class_name,
        service,
        path,
        method,
        idempotent=False,
        plan=plan,
        timeout_s=ACTION_TIMEOUT_S,
        retry_mode=RetryMode.IMMEDIATE,
    )


CREW_BOOKING = _action("crew_booking", "crews", "POST", "/bookings")
CREW_CANCELLATION = _action("cancellation", "crews", "POST", "/cancellations")
POUR_BOOKING = _action("pour_booking", "booking", "POST", "/pours")
POUR_CANCELLATION = _action("cancellation", "booking", "DELETE", "/loads/{n}")

NAIROBI_LOAD = (
    LoadClass(
        16.0,
        (
            _view("plan_view", "planner", "/plans/{n}"),
            _view("plan_view", "planner", "/plans/{n}", CREWS_DEPTH_4),
            _view("plan_view", "planner", "/plans/{n}", CREWS_DEPTH_5),
            _view("plan_view", "planner", "/plans/{n}", FRAMES_FAN_OUT),
        ),
    ),
    LoadClass(
        12.0,
        (
            _view("catalogue_view", "catalogue", "/items/{n}"),
            _view("catalogue_view", "catalogue", "/items/{n}", CREWS_DEPTH_3),
        ),
    ),
    LoadClass(
        4.0,
        (
            _action("print_order", "printshop", "POST", "/orders"),
            _action("print_order", "printshop", "POST", "/orders", ORDER_DEPTH_3),
        ),
    ),
    LoadClass(4.0, (CREW_BOOKING,)),
    LoadClass(
        2.0,
        (
            _action("cancellation", "printshop", "DELETE", "/orders/{n}"),
            CREW_CANCELLATION,
        ),
    ),
)

DEEP_SOUTH_LOAD = (
    LoadClass(
        16.0,
        (
            _view("price_check", "counter", "/prices/{n}"),
            _view("price_check", "counter", "/prices/{n}", DISPATCH_DEPTH_4),
        ),
    ),
    LoadClass(
        8.0,
        (
            _view("ticket_lookup", "tickets", "/tickets/{n}"),
            _view("ticket_lookup", "tickets", "/tickets/{n}", DISPATCH_DEPTH_2),
        ),
    ),
    LoadClass(6.0, (_view("dispatch_status", "dispatch", "/status"),)),
    LoadClass(
        4.0,
        (
            POUR_BOOKING,
            _action("pour_booking", "booking", "POST", "/pours", POUR_DEPTH_3),
        ),
    ),
    LoadClass(2.0, (POUR_CANCELLATION,)),
)
