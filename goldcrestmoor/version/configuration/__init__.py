"""The configuration document, its versions, and the routes of the platform."""
