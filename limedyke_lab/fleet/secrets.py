"""Fixed secrets of the lab, used only in loopback fleets."""

from __future__ import annotations

CLUSTER_KEY = "lab-cluster-key"
OPERATOR_NAME = "lab-operator"
OPERATOR_SECRET_NAME = "operator-lab"
OPERATOR_KEY = "lab-operator-key"
ADMIN_SECRET_NAME = "member-admin"
PROXY_ADMIN_USER = "limedyke_admin"
PROXY_ADMIN_PASSWORD = "lab-limedyke-admin"
LAB_ADMIN_USER = "lab_admin"
LAB_ADMIN_PASSWORD = "lab"

BACKEND_PASSWORDS = {
    "radio_apps": "lab-radio-apps-backend",
    "radio_editors": "lab-radio-editors-backend",
    "loggers": "lab-loggers-backend",
    "dispatch": "lab-dispatch-backend",
    "dashboards": "lab-dashboards-backend",
}
"""Password of each member login; the secret has the same name as the login."""

TOKEN_KEYS = {
    "token-key-1": "lab-token-key-1-0123456789abcdef",
    "token-key-2": "lab-token-key-2-0123456789abcdef",
}


def process_secrets() -> dict[str, str]:
    """Return the contents of the secrets file of proxies, controllers and operators."""
    return {
        "cluster": CLUSTER_KEY,
        OPERATOR_SECRET_NAME: OPERATOR_KEY,
        ADMIN_SECRET_NAME: PROXY_ADMIN_PASSWORD,
        **BACKEND_PASSWORDS,
        **TOKEN_KEYS,
    }


def member_passwords() -> dict[str, str]:
    """Return the password of each login that members accept."""
    return {
        LAB_ADMIN_USER: LAB_ADMIN_PASSWORD,
        PROXY_ADMIN_USER: PROXY_ADMIN_PASSWORD,
        **BACKEND_PASSWORDS,
    }


def client_password(user: str) -> str:
    """Return the lab password of a tenant's user."""
    return f"lab-{user}"
